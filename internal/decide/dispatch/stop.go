// Rule: planned stop. Once the end of the process is known, every query ends by then. From the time
// of one attempt before that end on, a query gets no more attempts: its shards that have none in
// flight are given up, and a query that has none in flight ends at once. It ends with the answered
// shards if they reach the minimum coverage, as not run if no attempt may have run, and otherwise as
// failed or unknown. The time of an attempt is a high quantile (answerTimeQuantile) of the times from
// the send of an attempt of the class to its answer.
//
// Inputs: the end of the process, the times of the answers of the class or, before the first one,
// its service time (seconds), the attempts in flight.
//
// Reason: what still waits in the process when it ends is cut off. A caller that is refused before
// can turn to another node with most of its time left, and a request that may run once keeps a known
// outcome. Requests for which there is time are still answered, because the platform may need some
// seconds to send callers elsewhere.

package dispatch

import "slices"

// answerTimeQuantile is the quantile of the times to an answer that is taken as the time of an
// attempt. It is high because a refusal costs a caller little compared with a request that is cut off.
const answerTimeQuantile = 0.95

// Stop announces the end of the process. It must be called at most once.
func (d *Dispatcher) Stop(now, endAt Time) []Action {
	d.begin(now)
	d.stopAt = endAt
	for _, q := range d.queries.running {
		d.boundByStop(q)
	}
	d.reorderWaiting()
	for _, q := range slices.Clone(d.queries.running) {
		if !q.finished {
			d.advance(q)
		}
	}
	return d.actions
}

// stopping reports whether a planned stop has begun.
func (d *Dispatcher) stopping() bool { return d.stopAt > 0 }

// boundByStop makes the query end before the process.
func (d *Dispatcher) boundByStop(q *query) {
	if !d.stopping() {
		return
	}
	q.Deadline = min(q.Deadline, d.stopAt)
	q.OutcomeWait = min(q.OutcomeWait, d.stopAt-q.Deadline)
}

// lastSendBeforeStop returns the time from which on an attempt of the class is expected to outlast the
// process.
func (d *Dispatcher) lastSendBeforeStop(class *classState) Time {
	if class.answerTime.SampleCount() == 0 {
		return d.stopAt - seconds(class.serviceTime)
	}
	return d.stopAt - class.answerTime.Quantile(answerTimeQuantile)
}

// tooLateForStop reports whether an attempt of the query is expected to outlast the process.
func (d *Dispatcher) tooLateForStop(q *query) bool {
	return d.stopping() && d.now >= d.lastSendBeforeStop(q.class)
}

// giveUpForStop gives up the shards of a query that wait, once it is too late for their attempts.
func (d *Dispatcher) giveUpForStop(q *query) {
	if !d.tooLateForStop(q) {
		return
	}
	for position := range q.shards {
		shard := &q.shards[position]
		queued := shard.status == shardWaiting && shard.waitTicket != 0
		if queued || shard.status == shardParked {
			d.giveUpShardForStop(q, int32(position), queued)
		}
	}
}

// giveUpShardForStop gives up one shard. The flag waiting is set if the shard is queued.
func (d *Dispatcher) giveUpShardForStop(q *query, position int32, waiting bool) {
	q.findings.lastReason = ReasonStopping
	d.markUnavailable(q, position, waiting)
}

// outcomeAtStop returns the outcome of a query that gets no more attempts and has none in flight.
func (q *query) outcomeAtStop() Outcome {
	if q.progress.MeetsMinimum(q.MinimumCoverage) {
		return OutcomePartial
	}
	return q.failureOutcome()
}

// endsByStop reports whether the query ends with the process, before its own deadline.
func (d *Dispatcher) endsByStop(q *query) bool {
	return d.stopping() && q.Deadline == d.stopAt
}

// deadlineReason returns the reason of a query that ends at its deadline.
func (d *Dispatcher) deadlineReason(q *query) Reason {
	if d.endsByStop(q) {
		return ReasonStopping
	}
	return ReasonDeadline
}

// expiryReason returns the reason of a query that ends because it gets no more attempts.
func (d *Dispatcher) expiryReason(q *query) Reason {
	if d.tooLateForStop(q) {
		return ReasonStopping
	}
	return ReasonDeadline
}

// reorderWaiting restores the order of the waiting shards after the deadlines of their queries have
// changed.
func (d *Dispatcher) reorderWaiting() {
	for index := range d.fleet.views {
		groups := d.fleet.views[index].groups
		for position := range groups {
			groups[position].waiting.reorder()
		}
	}
}
