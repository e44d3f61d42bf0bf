// Package timeleft decides how much time a request has left, and how much of the latency objective
// of its route remains.
//
// Rule: a request ends after the shorter of two times: the timeout of its route, counted from when
// the request is planned, and the time that its client still waits. Its objective is that of its
// route, less the time since the client first sent the request and the time that the answer needs
// to reach the client. Its body may take as long as the client waits.
//
// Quantities, all of them durations:
//
//	ClientTimeout  how long the client waits, as sent with the request; zero if the client
//	               sent no timeout. A client that retries sends only the rest.
//	BeforeArrival  how long the client had waited before the request arrived, estimated
//	SinceArrival   the time since the request arrived at this node
//	RelayTime      the time spent at another node that received the request and relays the
//	               answer
//	ClientLink     the network time between client and node that is not visible here (the
//	               setting forward.client_allowance)
//	Remaining      how long the client waits from now on
//	Timeout        after which the request ends
//	Objective      within which an answer has its full value
//
// Reason: an answer after the client's timeout is wasted work, an answer after the objective has
// less value. Without the time that passed before arrival, answers settle too late for their
// clients.
package timeleft

import "time"

// minRemaining is returned when no time is left: the request ends immediately because it has too
// little time. Zero would mean that the client sent no timeout.
const minRemaining = time.Millisecond

// Remaining returns how long the client waits from now on, at least 1 ms.
func Remaining(clientTimeout, sinceArrival time.Duration) time.Duration {
	return max(clientTimeout-sinceArrival, minRemaining)
}

// Timeout returns the time after which a request ends: the route's timeout, or the remaining client
// timeout if it is shorter.
func Timeout(route, clientTimeout, sinceArrival time.Duration) time.Duration {
	if clientTimeout <= 0 {
		return route
	}
	return min(route, Remaining(clientTimeout, sinceArrival))
}

// defaultBodyTimeout bounds the time that a body may take if the client sends no timeout. It only
// has to free the connection of a client that hangs.
const defaultBodyTimeout = time.Minute

// BodyTimeout returns how long the body of a request may take to arrive.
func BodyTimeout(clientTimeout time.Duration) time.Duration {
	if clientTimeout == 0 {
		return defaultBodyTimeout
	}
	return clientTimeout
}

// Spent holds the times that count against an objective.
type Spent struct {
	BeforeArrival time.Duration
	SinceArrival  time.Duration
	RelayTime     time.Duration
	ClientLink    time.Duration
}

// Objective returns what is left of a route's objective. It is zero if nothing is left or the route
// has no objective.
func Objective(route time.Duration, spent Spent) time.Duration {
	return max(route-spent.BeforeArrival-spent.SinceArrival-spent.RelayTime-spent.ClientLink, 0)
}
