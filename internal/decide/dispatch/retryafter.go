// Rule: Retry-After of a Finish that gives no answer (OutcomeNotRun or OutcomeFailed). A
// query refused for load carries its predicted wait, one whose leaves shed its attempts
// the longest pause that a leaf asked for, and one that ran out of time without either the
// shortest pause, all within the bounds of admission.Config. Others carry none, also a query
// that was submitted after its deadline or to a stopped service.
//
// Inputs: the predicted wait and the pauses that leaves ask for (durations), the reason.
//
// Reason: the caller may retry when the work that was in its way is done. A request that
// had too little time, with no leaf in its way, may be retried almost at once. Where no
// time is known (no leaf, no snapshot) the driver sets the time of the response.
//
// Measured: the bounds are with admission.Config.

package dispatch

import "time"

// setPredictedWait takes in the predicted wait of a query that is refused for load.
func (d *Dispatcher) setPredictedWait(q *query, wait time.Duration) {
	q.findings.retryAfter = d.config.Admission.RetryAfter(wait)
}

// addPause takes in the pause that a leaf asked for as it shed an attempt; zero for none.
func (d *Dispatcher) addPause(q *query, requested time.Duration) {
	q.findings.retryAfter = max(q.findings.retryAfter, d.config.Admission.RetryAfter(requested))
}

// retryAfter returns the time after which a caller that got no answer may retry; zero if
// none is known.
func (d *Dispatcher) retryAfter(q *query, reason Reason) time.Duration {
	if q.findings.retryAfter == 0 && reason == ReasonDeadline {
		return d.config.Admission.RetryAfter(0)
	}
	return q.findings.retryAfter
}
