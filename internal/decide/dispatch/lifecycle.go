package dispatch

import "slices"

// queryTable holds the unfinished queries.
type queryTable struct {
	byID          map[QueryID]*query
	running       []*query // all unfinished queries, started or not
	pending       []*query // those that wait for the concurrency limit, in order
	started       int
	startsBlocked bool // startPending must not start queries now
}

// remove removes a query from the unfinished queries.
func (t *queryTable) remove(q *query) {
	delete(t.byID, q.ID)
	last := len(t.running) - 1
	t.running[q.index] = t.running[last]
	t.running[q.index].index = q.index
	t.running[last] = nil
	t.running = t.running[:last]
}

// removePending removes a query from those that wait for the concurrency limit.
func (t *queryTable) removePending(q *query) {
	if index := slices.Index(t.pending, q); index >= 0 {
		t.pending = append(t.pending[:index], t.pending[index+1:]...)
	}
}

// start pins a snapshot and places all needed shards.
func (d *Dispatcher) start(q *query) {
	q.started = true
	q.startedAt = d.now
	d.queries.started++
	if reason := d.pin(q); reason != ReasonNone {
		d.finish(q, q.failureOutcome(), reason)
		return
	}
	if !q.Class.Repeatable && q.progress.Total != 1 {
		d.finish(q, OutcomeNotRun, ReasonInvalid)
		return
	}
	if !d.coverageAttainable(q) {
		d.finish(q, OutcomeNotRun, ReasonNoLeaf)
		return
	}
	if wait, admitted := d.admit(q); !admitted {
		d.refuseOverload(q, wait)
		return
	}
	for position := range q.shards {
		d.place(q, int32(position))
	}
	d.advance(q)
}

// advance ends the query if an end condition holds, and otherwise sets its timer. The handling of
// each event of a query ends with a call of advance.
func (d *Dispatcher) advance(q *query) {
	if q.finished || !q.started {
		d.expirePending(q)
		return
	}
	d.releaseWithheld(q)
	if !q.findings.invalid && !q.findings.unknown {
		d.armHedges(q)
	}
	if q.findings.snapshotLost {
		q.findings.snapshotLost = false
		d.restart(q)
	}
	d.giveUpForStop(q)
	if outcome, reason, settled := d.settle(q); settled {
		d.finish(q, outcome, reason)
		return
	}
	d.setTimer(q)
}

// expirePending ends a query that still waits for the concurrency limit at the time of its last
// send, which may have changed since its timer was set.
func (d *Dispatcher) expirePending(q *query) {
	if q.finished {
		return
	}
	last := d.lastSend(q)
	if d.now >= last {
		d.finish(q, OutcomeNotRun, d.expiryReason(q))
		return
	}
	d.timers.set(q, last)
}

// setTimer schedules the next time-based event of a query.
func (d *Dispatcher) setTimer(q *query) {
	next := q.Deadline
	switch {
	case q.inFlight == 0:
		next = d.lastSend(q)
	case q.awaitsOutcome(d.now):
		next += q.OutcomeWait
	}
	if q.settleAt > d.now {
		next = min(next, q.settleAt)
	}
	if last := d.lastSend(q); d.stopping() && last > d.now {
		next = min(next, last)
	}
	if q.hedging.nextCheckAt > 0 {
		next = min(next, max(q.hedging.nextCheckAt, d.now+1))
	}
	if q.hedging.chargeAsRetryAt > d.now {
		next = min(next, q.hedging.chargeAsRetryAt)
	}
	if next != q.timer.at || q.timer.index < 0 {
		d.timers.set(q, next)
	}
}

// abortAll aborts all attempts of the query and removes its shards from the queues. It returns the
// number of shards whose attempts may have executed.
func (d *Dispatcher) abortAll(q *query) int {
	executed := 0
	for position := range q.shards {
		shard := &q.shards[position]
		if shard.status == shardWaiting && shard.waitTicket != 0 {
			d.withdraw(q, shard)
		}
		if shard.status == shardAnswered || shard.needsRetry || shard.firstAttempt != noAttempt {
			executed++
		}
		for shard.firstAttempt != noAttempt {
			d.abortAttempt(&d.attempts.slots[shard.firstAttempt])
		}
	}
	return executed
}

// finish ends a query.
func (d *Dispatcher) finish(q *query, outcome Outcome, reason Reason) {
	d.abortAll(q)
	q.finished = true
	d.timers.remove(q)
	d.queries.remove(q)
	d.counters.countOutcome(outcome)
	if q.started && q.progress.Answered > 0 {
		d.means.queryTime += queryTimeWeight * ((d.now - q.startedAt).Seconds() - d.means.queryTime)
	}
	result := q.result()
	result.Outcome = outcome
	result.Reason = reason
	if outcome == OutcomeNotRun || outcome == OutcomeFailed {
		result.RetryAfter = d.retryAfter(q, reason)
	}
	d.actions = append(d.actions, result)
	d.shardPool.put(q.shards)
	q.shards = nil
	if q.started {
		d.queries.started--
		d.startPending()
		return
	}
	d.queries.removePending(q)
}

// queryTimeWeight is the weight of a query in the mean duration of queries, which averages over
// about twenty queries.
const queryTimeWeight = 0.05
