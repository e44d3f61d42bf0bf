package timeleft

import "time"

// The rule of the estimate: the longest timeout that clients of a kind of request tell
// is taken for the whole, since they begin with that. What is missing from it in a
// request is the time that its client has waited already.
//
// Inputs: the kind of the request, and what its client tells.
//
// Reason: a client does not say when it first sent a request; retries tell a shorter
// timeout than first tries.

// waitsMemory is after how many requests of a kind the longest timeout is looked for
// again, so that a change of the clients is followed within twice as many. Not
// measured: chosen because it holds many first tries beside some retries.
const windowSize = 256

// Waits estimates for how long clients have waited before their requests arrived. It
// is not safe for concurrent use.
type Waits struct {
	kinds map[string]*maxTimeouts
}

// longest is the longest timeout of a kind: of the present span of requests, and of the
// one before it.
type maxTimeouts struct {
	current, previous time.Duration
	count             int
}

// NewWaits returns Waits that have seen no request.
func NewWaits() *Waits {
	return &Waits{kinds: make(map[string]*maxTimeouts)}
}

// BeforeArrival takes in the timeout of a client and returns for how long the client
// has waited already; zero if it did not say.
func (w *Waits) BeforeArrival(kind string, clientTimeout time.Duration) time.Duration {
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
