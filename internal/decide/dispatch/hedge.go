package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/replica"
)

func (d *Dispatcher) mayHedge(q *query) bool {
	return !d.config.Hedge.Disabled && q.Class.Repeatable && q.Class.HedgePercentile > 0
}

// armHedges sets the time of the next look at hedges, once few enough shards
// are outstanding.
func (d *Dispatcher) armHedges(q *query) {
	if q.hedgesArmed || !d.mayHedge(q) || q.inFlight == 0 || q.outstanding() == 0 {
		return
	}
	allowed := max(1, int(d.config.Hedge.Outstanding*float64(q.progress.Total)))
	if q.outstanding() > allowed {
		return
	}
	d.hedge(q)
}

// hedgeDue reports whether hedges are to be looked at.
func (q *query) hedgeDue(now Time) bool {
	if !q.started || now >= q.Deadline {
		return false
	}
	return q.hedgeAt > 0 && q.hedgeAt <= now || q.rescuing(now) && !q.hedgesArmed
}

// rescuing reports whether hedges are paid for as retries.
func (q *query) rescuing(now Time) bool {
	return q.rescueAt > 0 && now >= q.rescueAt
}

// hedge sends second attempts for the shards that are late, and sets the time
// of the next look.
func (d *Dispatcher) hedge(q *query) {
	q.hedgeAt = 0
	q.hedgesArmed = true
	if d.now >= q.Deadline {
		return
	}
	delay, known := d.hedgeDelay(q)
	if !known {
		return
	}
	q.hedgeAt = q.Deadline
	for position := range q.shards {
		shard := &q.shards[position]
		if shard.status != shardInFlight || d.attempts.slots[shard.first].next != none {
			continue
		}
		only := &d.attempts.slots[shard.first]
		due := only.sentAt + delay
		if due <= d.now && !d.hedgeShard(q, int32(position), only) {
			d.replace(q, int32(position))
			due = d.now + delay/4 + 1
		}
		if due > d.now {
			q.hedgeAt = min(q.hedgeAt, due)
		}
	}
}

// hedgeDelay returns the age at which an attempt of the query counts as late.
func (d *Dispatcher) hedgeDelay(q *query) (time.Duration, bool) {
	if q.class.latency.Samples() < d.config.Hedge.Samples {
		return q.HedgeDelay, q.HedgeDelay > 0
	}
	delay := q.class.latency.Quantile(q.Class.HedgePercentile)
	if q.HedgeDelay > 0 {
		delay = min(delay, q.HedgeDelay)
	}
	return delay, true
}

// hedgeShard sends a second attempt if another leaf has room and is expected
// to answer before the first.
func (d *Dispatcher) hedgeShard(q *query, position int32, first *attempt) bool {
	shard := &q.shards[position]
	if shard.group == nil || shard.group.waiting.live > 0 || !q.maySend(shard, &d.config) || q.suspected() {
		return false
	}
	if d.collect(shard, q.priority(d.now), shard.tried) != choiceSend {
		return false
	}
	work := replica.Work{Base: q.class.base, Mean: d.workOf(shard.group.leaves[0])}
	index := d.chooser.Choose(d.candidates, work)
	chosen := &d.candidates[index]
	queue := float64(chosen.InFlight) + chosen.Others + 1 - float64(chosen.Slots)
	if chosen.Full() || queue > d.config.Hedge.Queue {
		return false
	}
	if d.config.Score.Expected(chosen, work) > d.timeToAnswer(q, first)*hedgeTolerance || !d.payHedge(q, position) {
		return false
	}
	d.send(q, position, d.candidateLeaves[index], causeHedge)
	return true
}

// timeToAnswer returns how long an attempt is expected to take yet, in seconds: as
// long as one that starts now at its leaf, and at least as long as it took
// already, since what makes attempts late (a pause, a queue, a slow leaf) lasts.
func (d *Dispatcher) timeToAnswer(q *query, of *attempt) float64 {
	anew := d.config.Score.Significant(d.slowness(of.leaf)) * q.class.base
	return max(anew, (d.now - of.sentAt).Seconds())
}

// payHedge takes what a hedge costs.
func (d *Dispatcher) payHedge(q *query, position int32) bool {
	budget := d.budgetOf(q, position)
	if q.rescuing(d.now) {
		return budget.SpendRetry(1)
	}
	return budget.SpendHedge()
}

// hedgeTolerance is how much longer than the first attempt the second may be
// expected to take.
const hedgeTolerance = 1.2

// replace gives up the only attempt of a shard and lets the shard wait for
// another leaf, if the attempt is that late that its answer will not come, and
// the query has no time to wait for the certainty.
func (d *Dispatcher) replace(q *query, position int32) {
	shard := &q.shards[position]
	only := &d.attempts.slots[shard.first]
	age := (d.now - only.sentAt).Seconds()
	if !q.rescuing(d.now) || !q.maySend(shard, &d.config) || age < lostAgeFactor*only.expected || !d.budgetOf(q, position).CanRetry() {
		return
	}
	if shard.group == nil || d.collect(shard, q.priority(d.now), 0) == choiceNone {
		return // no leaf takes work any more: this answer is all that may come
	}
	d.abort(only)
	shard.lost++
	shard.needsRetry = true
	shard.markDue()
	d.place(q, position)
}

// lostAgeFactor is the age of an attempt, over the time expected of an ordinary leaf,
// from which its answer is taken to be lost.
const lostAgeFactor = 10
