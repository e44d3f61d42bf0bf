package dispatch

import "time"

// retryAfter returns when a caller that got nothing may ask again. Without a
// better guess, a request that had too little time may come at once.
func (d *Dispatcher) retryAfter(q *query, reason Reason) time.Duration {
	if q.retryAfter == 0 && reason == ReasonDeadline {
		return d.config.Admission.RetryAfter(0)
	}
	return q.retryAfter
}
