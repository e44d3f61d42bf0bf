// Package timeleft decides how much time a request has left, and how much of the
// objective of its route.
//
// The rule: a request ends after the shorter of the timeout of its route, from the
// moment at which it is planned, and of what its client still waits. Its objective is
// that of its route, less all the time that has gone since the client first sent it,
// and that its answer still needs to reach the client. Its body may take as long as the
// client waits.
//
// The quantities, all of them durations, and their names everywhere:
//
//	ClientTimeout  how long the client waits, as it said with the request; zero if it
//	               did not say. A client that retries waits only for the rest.
//	BeforeArrival  how long it had waited before the request arrived, estimated
//	SinceArrival   the time since the request arrived at this node
//	RelayTime      the time that another node, which received the request, has had it,
//	               and needs to return the answer
//	ClientLink     the time on the way between client and node that is not seen here
//	               (the setting forward.client_allowance)
//	Remaining      how long the client waits from now on
//	Timeout        after which the request ends
//	Objective      within which an answer is worth most
//
// Reason: an answer after the client's timeout is work for nothing, and one after the
// objective is worth less; where the time already gone was not seen, answers settled
// too late for their clients.
package timeleft

import "time"

// leastRemaining is what is left of a time that is used up: the request ends at once,
// as one that had too little time. Zero would mean that the client did not say.
const minRemaining = time.Millisecond

// Remaining returns how long the client waits from now on; 1 ms at least.
func Remaining(clientTimeout, sinceArrival time.Duration) time.Duration {
	return max(clientTimeout-sinceArrival, minRemaining)
}

// Timeout returns the time after which a request ends: the route's, or what remains
// of the client's, if that is shorter.
func Timeout(route, clientTimeout, sinceArrival time.Duration) time.Duration {
	if clientTimeout <= 0 {
		return route
	}
	return min(route, Remaining(clientTimeout, sinceArrival))
}

// bodyTimeout bounds the time that a body may take whose client does not say how long it
// waits. Not measured: chosen because it only has to free the connection of a client that
// hangs.
const defaultBodyTimeout = time.Minute

// Body returns how long the body of a request may take to arrive.
func Body(clientTimeout time.Duration) time.Duration {
	if clientTimeout == 0 {
		return defaultBodyTimeout
	}
	return clientTimeout
}

// Spent is what counts against an objective.
type Spent struct {
	BeforeArrival time.Duration
	SinceArrival  time.Duration
	RelayTime     time.Duration
	ClientLink    time.Duration
}

// Objective returns what is left of the objective of a route; zero if nothing is, or
// the route has none.
func Objective(route time.Duration, spent Spent) time.Duration {
	return max(route-spent.BeforeArrival-spent.SinceArrival-spent.RelayTime-spent.ClientLink, 0)
}
