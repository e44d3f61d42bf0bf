// Rule: hedges. Once few enough shards of a query are outstanding, a shard whose single attempt is
// older than the hedge delay gets a second attempt on a leaf that has room, for which no shard
// waits, and which is expected to answer before the first attempt. After the share
// HedgeConfig.ChargeAsRetryAfter of the query's time, hedges are charged as retries, and an attempt
// older than lostAgeFactor times its expected time is replaced.
//
// Inputs: age of the attempt, its expected time (seconds, including the queue of its leaf), the
// latency quantile of the class, Query.HedgeDelay, the budget of the shard.
//
// Reason: the last outstanding shards decide when a query ends. Hedges into a busy group would
// lengthen the queue that makes attempts late. Without hedges charged as retries, 0.5 to 1.1 % of
// the urgent queries get no complete answer after the loss of a leaf at 60 % load. The age of the
// first attempt is a lower bound of its expected remaining time, see expectedRemainingTime.

package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/replica"
)

// mayHedge reports whether hedges are permitted for the query's class.
func (d *Dispatcher) mayHedge(q *query) bool {
	return q.Class.Repeatable && q.Class.HedgePercentile > 0
}

// armHedges starts hedging once few enough shards are outstanding.
func (d *Dispatcher) armHedges(q *query) {
	if q.hedging.armed || !d.mayHedge(q) || q.inFlight == 0 || q.outstanding() == 0 {
		return
	}
	allowed := max(1, int(d.config.Hedge.OutstandingShare*float64(q.progress.Total)))
	if q.outstanding() > allowed {
		return
	}
	d.sendHedges(q)
}

// hedgeDue reports whether sendHedges has to be called.
func (q *query) hedgeDue(now Time) bool {
	if !q.started || now >= q.Deadline {
		return false
	}
	return q.hedging.nextCheckAt > 0 && q.hedging.nextCheckAt <= now || q.hedging.chargedAsRetries(now) && !q.hedging.armed
}

// sendHedges sends second attempts for the shards that are late and schedules the next check.
func (d *Dispatcher) sendHedges(q *query) {
	q.hedging.nextCheckAt = 0
	q.hedging.armed = true
	if d.now >= d.lastSend(q) {
		return
	}
	delay, ok := d.hedgeDelay(q)
	if !ok {
		return
	}
	q.hedging.nextCheckAt = q.Deadline
	for position := range q.shards {
		shard := &q.shards[position]
		if shard.status != shardInFlight || d.attempts.slots[shard.firstAttempt].next != noAttempt {
			continue
		}
		only := &d.attempts.slots[shard.firstAttempt]
		due := only.sentAt + delay
		if due <= d.now && !d.hedgeShard(q, int32(position), only) {
			d.replaceLateAttempt(q, int32(position))
			due = d.now + delay/hedgeRetriesPerDelay + 1
		}
		if due > d.now {
			q.hedging.nextCheckAt = min(q.hedging.nextCheckAt, due)
		}
	}
}

// hedgeRetriesPerDelay is the number of times within a hedge delay that a hedge is retried for
// which no leaf had room. Leaves become free within a fraction of the hedge delay.
const hedgeRetriesPerDelay = 4

// hedgeDelay returns the age from which an attempt of the query counts as late. It returns false if
// the delay is unknown.
func (d *Dispatcher) hedgeDelay(q *query) (time.Duration, bool) {
	if q.class.latency.SampleCount() < d.config.Hedge.MinimumSamples {
		return q.HedgeDelay, q.HedgeDelay > 0
	}
	delay := q.class.latency.Quantile(q.Class.HedgePercentile)
	if q.HedgeDelay > 0 {
		delay = min(delay, q.HedgeDelay)
	}
	return delay, true
}

// hedgeShard sends a second attempt if another leaf has room and is expected to answer before the
// first attempt.
func (d *Dispatcher) hedgeShard(q *query, position int32, first *attempt) bool {
	shard := &q.shards[position]
	if shard.group == nil || shard.group.waiting.live > 0 || !q.mayAttempt(shard, &d.config) || q.suspected() {
		return false
	}
	if d.collectCandidates(shard, q.priority(d.now), shard.triedReplicas) != choiceSend {
		return false
	}
	work := replica.Work{Base: q.class.serviceTime, Mean: d.meanWorkAt(shard.group.leaves[0])}
	index := d.chooser.Choose(d.scratch.candidates, work)
	chosen := &d.scratch.candidates[index]
	queue := float64(chosen.InFlight) + chosen.OthersInFlight + 1 - float64(chosen.Slots)
	if chosen.Full() || queue > d.config.Hedge.MaximumQueue {
		return false
	}
	if d.config.Score.WeightedCompletion(chosen, work) > d.expectedRemainingTime(q, first)*hedgeTolerance || !d.spendHedge(q, position) {
		return false
	}
	d.send(q, position, d.scratch.leaves[index], CauseHedge)
	return true
}

// expectedRemainingTime returns the time in seconds that an attempt is expected to take from now
// on: the larger one of the time of an attempt that starts now on the same leaf and the age of the
// attempt, because the causes of late attempts (a pause, a queue, a slow leaf) persist.
func (d *Dispatcher) expectedRemainingTime(q *query, target *attempt) float64 {
	fresh := d.config.Score.EffectiveSlowness(d.slowness(target.leaf)) * q.class.serviceTime
	return max(fresh, (d.now - target.sentAt).Seconds())
}

// spendHedge charges a hedge to the budget and reports whether the budget pays for it.
func (d *Dispatcher) spendHedge(q *query, position int32) bool {
	budget := d.budgetFor(q, position)
	if q.hedging.chargedAsRetries(d.now) {
		return budget.SpendRetry(1)
	}
	return budget.SpendHedge()
}

// hedgeTolerance is the maximum ratio of the expected time of a hedge to the expected remaining
// time of the first attempt. Both times are estimates, and a hedge that is slightly later than the
// first attempt still protects against its loss.
const hedgeTolerance = 1.2

// replaceLateAttempt aborts the single attempt of a shard and places the shard again, if the
// attempt is so late that its answer counts as lost and hedges are charged as retries.
func (d *Dispatcher) replaceLateAttempt(q *query, position int32) {
	shard := &q.shards[position]
	only := &d.attempts.slots[shard.firstAttempt]
	age := (d.now - only.sentAt).Seconds()
	if !q.hedging.chargedAsRetries(d.now) || !q.mayAttempt(shard, &d.config) || age < lostAgeFactor*only.expectedTime || !d.budgetFor(q, position).CanRetry() {
		return
	}
	if shard.group == nil || d.collectCandidates(shard, q.priority(d.now), 0) == choiceNone {
		return // only this attempt can still answer the shard
	}
	d.abortAttempt(only)
	shard.lostAttempts++
	shard.needsRetry = true
	shard.markDue()
	d.place(q, position)
}

// lostAgeFactor is the age of an attempt, relative to the time expected of an ordinary leaf, from
// which its answer counts as lost. Without the replacement, about 0.1 % of the queries end with
// partial coverage after the loss of a zone, with it none do.
const lostAgeFactor = 10
