package dispatch

// start pins a snapshot and places all needed shards.
func (d *Dispatcher) start(q *query) {
	q.started = true
	q.startedAt = d.now
	d.queries.started++
	if reason := d.pin(q); reason != ReasonNone {
		d.finish(q, q.failure(), reason)
		return
	}
	if !q.Class.Repeatable && q.progress.Total != 1 {
		d.finish(q, OutcomeNotRun, ReasonInvalid)
		return
	}
	if !d.servable(q) {
		d.finish(q, OutcomeNotRun, ReasonNoLeaf)
		return
	}
	if wait, admitted := d.admit(q); !admitted {
		d.refuseForLoad(q, wait)
		return
	}
	for position := range q.shards {
		d.place(q, int32(position))
	}
	d.review(q)
}

// review ends the query if it is to end now, and otherwise sets its timer.
// Every event of a query ends with it.
func (d *Dispatcher) review(q *query) {
	if q.finished || !q.started {
		d.reviewPending(q)
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

func (d *Dispatcher) setTimer(q *query) {
	next := q.Deadline
	if q.settleAt > d.now {
		next = min(next, q.settleAt)
	}
	if q.hedging.at > 0 {
		next = min(next, max(q.hedging.at, d.now+1))
	}
	if q.hedging.rescueAt > d.now {
		next = min(next, q.hedging.rescueAt)
	}
	if next != q.timer.at || q.timer.index < 0 {
		d.timers.set(q, next)
	}
}

// abandon aborts and withdraws all that the query has under way, and returns
// the number of its attempts that may have executed.
func (d *Dispatcher) abandon(q *query) int {
	executed := 0
	for position := range q.shards {
		shard := &q.shards[position]
		if shard.status == shardWaiting && shard.waitFor != 0 {
			d.withdraw(q, shard)
		}
		if shard.status == shardAnswered || shard.needsRetry || shard.first != none {
			executed++
		}
		for shard.first != none {
			d.abort(&d.attempts.slots[shard.first])
		}
	}
	return executed
}

// finish ends a query.
func (d *Dispatcher) finish(q *query, outcome Outcome, reason Reason) {
	d.abandon(q)
	q.finished = true
	d.timers.remove(q)
	delete(d.queries.byID, q.ID)
	last := len(d.queries.running) - 1
	d.queries.running[q.index] = d.queries.running[last]
	d.queries.running[q.index].index = q.index
	d.queries.running[last] = nil
	d.queries.running = d.queries.running[:last]
	d.countOutcome(outcome)
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
	d.spare.give(q.shards)
	q.shards = nil
	if q.started {
		d.queries.started--
		d.startPending()
		return
	}
	d.removePending(q)
}

// queryTimeWeight is the weight of one query in the mean duration.
const queryTimeWeight = 0.05

func (d *Dispatcher) removePending(q *query) {
	for index, other := range d.queries.pending {
		if other == q {
			d.queries.pending = append(d.queries.pending[:index], d.queries.pending[index+1:]...)
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
