// Rule: Retry-After of a Finish without an answer (OutcomeNotRun or OutcomeFailed). A query refused
// because of load carries its predicted wait. A query whose leaves shed its attempts carries the
// longest pause that a leaf requested. A query that reached its deadline without either carries the
// shortest pause. All are within the bounds of admission.Config. A query that ends because the
// process stops carries none, because its caller turns to another node. Other queries carry none
// either, including a query that was submitted after its deadline or to a stopped service.
//
// Inputs: the predicted wait and the pauses that leaves request (durations), the reason.
//
// Reason: the caller may retry once the work that delayed its request is done. A request whose
// deadline was too short, without a leaf that delayed it, may be retried almost immediately. Where
// no time is known (no leaf, no snapshot) the driver sets the time of the response.

package dispatch

import "time"

// setPredictedWait records the predicted wait of a query that is refused because of load.
func (d *Dispatcher) setPredictedWait(q *query, wait time.Duration) {
	q.findings.retryAfter = d.config.Admission.RetryAfter(wait)
}

// addPause records the pause that a leaf requested when it shed an attempt; zero for none.
func (d *Dispatcher) addPause(q *query, requested time.Duration) {
	q.findings.retryAfter = max(q.findings.retryAfter, d.config.Admission.RetryAfter(requested))
}

// retryAfter returns the time after which a caller without an answer may retry; zero if it is
// unknown.
func (d *Dispatcher) retryAfter(q *query, reason Reason) time.Duration {
	if reason == ReasonStopping {
		return 0
	}
	if q.findings.retryAfter == 0 && reason == ReasonDeadline {
		return d.config.Admission.RetryAfter(0)
	}
	return q.findings.retryAfter
}
