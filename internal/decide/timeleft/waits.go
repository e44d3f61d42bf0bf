package timeleft

import "time"

// Rule of the estimate: the longest timeout that clients send with a kind of request is taken as
// the full timeout, since first attempts send it. The difference between it and the timeout of a
// request is the time that the client of the request has already waited.
//
// Inputs: the kind of the request, and the timeout that its client sends.
//
// Reason: a client does not send when it first sent a request, but a retry sends a shorter timeout
// than a first attempt.

// windowSize is the number of requests of a kind after which a new window for the longest timeout
// begins, so that the estimate follows a change of the clients within two windows. A window has to
// hold many first attempts among the retries.
const windowSize = 256

// WaitEstimator estimates how long clients have waited before their requests arrived. It is not
// safe for concurrent use.
type WaitEstimator struct {
	kinds map[string]*maxTimeouts
}

// maxTimeouts holds the longest timeouts of a kind in the current and in the previous window.
type maxTimeouts struct {
	current, previous time.Duration
	count             int
}

// NewWaitEstimator returns a WaitEstimator without samples.
func NewWaitEstimator() *WaitEstimator {
	return &WaitEstimator{kinds: make(map[string]*maxTimeouts)}
}

// BeforeArrival records the timeout of a client and returns how long the client has already waited.
// It returns zero if the client sent no timeout.
func (w *WaitEstimator) BeforeArrival(kind string, clientTimeout time.Duration) time.Duration {
	if clientTimeout <= 0 {
		return 0
	}
	maxima, exists := w.kinds[kind]
	if !exists {
		maxima = &maxTimeouts{}
		w.kinds[kind] = maxima
	}
	maxima.count++
	if maxima.count > windowSize {
		maxima.previous, maxima.current, maxima.count = maxima.current, 0, 0
	}
	maxima.current = max(maxima.current, clientTimeout)
	return max(maxima.current, maxima.previous) - clientTimeout
}
