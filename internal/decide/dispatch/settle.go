package dispatch

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/coverage"
	"github.com/micaplank/micaplank/internal/decide/snapshot"
)

func (q *query) need() snapshot.Need {
	return snapshot.Need{KeyHash: q.KeyHash, HasKey: q.HasKey, Shards: q.Shards}
}

// pin fixes the snapshot of a query and the shards that it needs there.
func (d *Dispatcher) pin(q *query) Reason {
	index, found := snapshot.Pick(d.snapshots, q.need())
	if !found {
		if len(d.views) == 0 {
			return ReasonNoSnapshot
		}
		return ReasonNoLeaf
	}
	d.pinTo(q, &d.views[index])
	return ReasonNone
}

func (d *Dispatcher) pinTo(q *query, pinned *view) {
	q.snapshot = pinned.snapshot
	q.firstShard = 0
	count := len(pinned.groups)
	if shard, single := q.need().Shard(count); single {
		q.firstShard, count = shard, 1
	}
	if len(q.Shards) > 0 {
		count = len(q.Shards)
	}
	q.shards = d.newShards(count)
	for position := range q.shards {
		q.shards[position].group = pinned.group(q.shardAt(position))
		q.shards[position].first = none
	}
	d.actions = slices.Grow(d.actions, count)
	q.progress = coverage.Progress{Total: count}
}

// newShards returns count zero shards, if possible from a finished query.
func (d *Dispatcher) newShards(count int) []shardState {
	last := len(d.spareShards) - 1
	if last < 0 || cap(d.spareShards[last]) < count {
		return make([]shardState, count)
	}
	shards := d.spareShards[last][:count]
	d.spareShards = d.spareShards[:last]
	clear(shards)
	return shards
}

// spareLimit is how many lists of shards are kept for newShards.
const spareLimit = 16

// releaseShards keeps the shards of a finished query for newShards. Nothing
// looks at the shards of a finished query.
func (d *Dispatcher) releaseShards(q *query) {
	if len(d.spareShards) < spareLimit && q.shards != nil {
		d.spareShards = append(d.spareShards, q.shards)
	}
	q.shards = nil
}

// review ends the query if it is to end now, and otherwise sets its timer.
// Every event of a query ends with it.
func (d *Dispatcher) review(q *query) {
	if q.finished || !q.started {
		d.reviewPending(q)
		return
	}
	d.letGo(q)
	if !q.invalid && !q.unknown {
		d.armHedges(q)
	}
	if q.snapshotLost {
		q.snapshotLost = false
		d.restart(q)
	}
	if outcome, reason, settled := d.settle(q); settled {
		d.finish(q, outcome, reason)
		return
	}
	d.setTimer(q)
}

func (d *Dispatcher) reviewPending(q *query) {
	if !q.finished && d.now >= q.Deadline {
		d.finish(q, OutcomeNotRun, ReasonDeadline)
	}
}

// settle decides whether and how a query ends now.
func (d *Dispatcher) settle(q *query) (Outcome, Reason, bool) {
	progress := q.progress
	switch {
	case progress.Whole():
		return OutcomeAnswered, ReasonNone, true
	case q.unknown:
		return OutcomeUnknown, ReasonLost, true
	case q.invalid:
		return q.failure(), ReasonInvalid, true
	case progress.Hopeless():
		return q.failure(), q.lastReason, true
	case d.config.RequireCoverage && !progress.Attainable(q.MinimumCoverage):
		return q.failure(), q.lastReason, true
	case d.now >= q.Deadline && d.config.RequireCoverage && !progress.Enough(q.MinimumCoverage):
		return q.failure(), ReasonDeadline, true
	case d.now >= q.Deadline && progress.Answered > 0:
		return OutcomePartial, ReasonDeadline, true
	case d.now >= q.Deadline:
		return q.failure(), ReasonDeadline, true
	case !progress.Enough(q.MinimumCoverage):
		return "", ReasonNone, false
	case progress.Exhausted():
		return OutcomePartial, q.lastReason, true
	case d.now >= q.settleAt:
		return OutcomePartial, ReasonDeadline, true
	default:
		return "", ReasonNone, false
	}
}

func (d *Dispatcher) setTimer(q *query) {
	next := q.Deadline
	if q.settleAt > d.now {
		next = min(next, q.settleAt)
	}
	if q.hedgeAt > 0 {
		next = min(next, max(q.hedgeAt, d.now+1))
	}
	if q.rescueAt > d.now {
		next = min(next, q.rescueAt)
	}
	if next != q.timerAt || q.timer < 0 {
		d.timers.set(q, next)
	}
}

// restart runs the whole query again at a newer snapshot, once, if that can
// cover more of it and time is left.
func (d *Dispatcher) restart(q *query) {
	if q.restarted || !q.Class.Repeatable {
		return
	}
	if d.now+time.Duration(q.class.base*float64(time.Second)) >= q.Deadline {
		return
	}
	index, found := snapshot.Pick(d.snapshots, q.need())
	if !found || !q.snapshot.Less(d.views[index].snapshot) {
		return
	}
	covered, needed := q.need().Covered(&d.snapshots[index])
	reachable := q.progress.Total - q.progress.Unavailable
	if covered*q.progress.Total <= reachable*needed {
		return
	}
	spent := d.abandon(q)
	q.restarted = true
	q.hedgesArmed, q.hedgeAt = false, 0
	d.counters.Restarts++
	d.pinTo(q, &d.views[index])
	for position := range q.shards {
		q.shards[position].spent = position < spent
		d.place(q, int32(position))
	}
}

// abandon aborts and withdraws all that the query has under way, and returns
// the number of its attempts that may have executed.
func (d *Dispatcher) abandon(q *query) int {
	spent := 0
	for position := range q.shards {
		shard := &q.shards[position]
		if shard.status == shardWaiting && shard.waitFor != 0 {
			d.withdraw(q, shard)
		}
		if shard.status == shardAnswered || shard.spent || shard.first != none {
			spent++
		}
		for shard.first != none {
			d.abort(&d.attempts.slots[shard.first])
		}
	}
	return spent
}

// finish ends a query.
func (d *Dispatcher) finish(q *query, outcome Outcome, reason Reason) {
	d.abandon(q)
	q.finished = true
	d.timers.remove(q)
	delete(d.byID, q.ID)
	last := len(d.running) - 1
	d.running[q.index] = d.running[last]
	d.running[q.index].index = q.index
	d.running[last] = nil
	d.running = d.running[:last]
	d.countOutcome(outcome)
	if q.started && q.progress.Answered > 0 {
		d.duration += durationWeight * ((d.now - q.startedAt).Seconds() - d.duration)
	}
	result := q.result()
	result.Outcome = outcome
	result.Reason = reason
	if outcome == OutcomeNotRun || outcome == OutcomeFailed {
		result.RetryAfter = d.retryAfter(q, reason)
	}
	d.actions = append(d.actions, result)
	d.releaseShards(q)
	if q.started {
		d.started--
		d.startPending()
		return
	}
	d.removePending(q)
}

// retryAfter returns when a caller that got nothing may ask again. Without a
// better guess, a request that had too little time may come at once.
func (d *Dispatcher) retryAfter(q *query, reason Reason) time.Duration {
	if q.retryAfter == 0 && reason == ReasonDeadline {
		return d.config.Admission.RetryAfter(0)
	}
	return q.retryAfter
}

// durationWeight is the weight of one query in the mean duration.
const durationWeight = 0.05

func (d *Dispatcher) removePending(q *query) {
	for index, other := range d.pending {
		if other == q {
			d.pending = append(d.pending[:index], d.pending[index+1:]...)
			return
		}
	}
}

func (d *Dispatcher) countOutcome(outcome Outcome) {
	switch outcome {
	case OutcomeAnswered:
		d.counters.Answered++
	case OutcomePartial:
		d.counters.Partial++
	case OutcomeNotRun:
		d.counters.NotRun++
	case OutcomeFailed:
		d.counters.Failed++
	case OutcomeUnknown:
		d.counters.Unknown++
	}
}
