// Package liveness decides whether another node counts as alive, by its answers to heartbeats. It
// is pure: time is passed in as an argument.
//
// Rule: a node counts as lost until it answers a heartbeat, and again once it was silent for longer
// than a timeout or its connection ended. Other messages end its silence, but do not make a lost
// node alive again.
//
// Inputs: the time of each message (a duration on the node's clock), the round trip of each
// heartbeat (a duration), and the timeout (a duration).
//
// Reason: calls to a lost node have to end before the deadlines of their requests, so the context
// returned by Alive ends with the loss.
//
// The interval and the timeout of the heartbeats belong to the rules that use this package.
package liveness

import (
	"context"
	"time"
)

// State is the liveness of another node that is sent heartbeats. The node counts as lost until it
// answers one. A State is not safe for concurrent use.
type State struct {
	// RoundTripWeight is the weight of one answer in RoundTrip, from 0 to 1.
	RoundTripWeight float64
	// LastHeard is when the node's last message arrived; zero if there was none.
	LastHeard time.Duration
	// RoundTrip is the moving average of the time of a heartbeat and its answer.
	RoundTrip time.Duration

	alive  context.Context
	cancel context.CancelFunc
}

// Alive returns a context that ends when the node is lost. It is nil while the node is lost or not
// in use.
func (s *State) Alive() context.Context { return s.alive }

// RecordMessage records any message of the node. It does not make a lost node alive.
func (s *State) RecordMessage(now time.Duration) {
	s.LastHeard = max(s.LastHeard, now, 1)
}

// RecordAnswer records the answer to a heartbeat, which makes a lost node alive. It reports whether
// the node was lost before.
func (s *State) RecordAnswer(now, roundTrip time.Duration) (regained bool) {
	s.RecordMessage(now)
	if s.RoundTrip == 0 {
		s.RoundTrip = roundTrip
	}
	s.RoundTrip += time.Duration(s.RoundTripWeight * float64(roundTrip-s.RoundTrip))
	if s.alive != nil {
		return false
	}
	s.alive, s.cancel = context.WithCancel(context.Background())
	return true
}

// IsSilent reports whether no message arrived for longer than the timeout.
func (s *State) IsSilent(now, timeout time.Duration) bool {
	return now-s.LastHeard > timeout
}

// MarkLost marks the node as lost and ends the context of Alive, and with it the calls in flight.
// It reports whether the node was alive before.
func (s *State) MarkLost() bool {
	if s.alive == nil {
		return false
	}
	s.cancel()
	s.alive = nil
	return true
}

// MarkUnused is like MarkLost, but the calls in flight to the node continue.
func (s *State) MarkUnused() bool {
	wasAlive := s.alive != nil
	s.alive = nil
	return wasAlive
}
