// Package liveness decides whether another node counts as alive, by its answers to
// heartbeats. It is pure: time comes in as an argument.
//
// Rule: a node counts as lost until it answers a heartbeat, and again once it was silent
// for longer than a timeout, or its connection ended. Other messages show that it is not
// silent, but do not bring a lost node back.
//
// Inputs: the time of each message (a duration on the node's clock), the round trip of
// each heartbeat (a duration), and the timeout of the user (a duration).
//
// Reason: what was sent to a lost node has to end before the deadlines of its requests do;
// the context of Alive ends with the loss.
//
// It owns the State of one other node. Interval and timeout of the heartbeats belong to
// the rules that use it, with their reasons. It has no constant.
package liveness

import (
	"context"
	"time"
)

// State is what is known of another node, which is sent heartbeats. It counts as lost
// until it answers one. A State is not safe for concurrent use.
type State struct {
	// Weight is that of one answer in RoundTrip, from 0 to 1.
	RoundTripWeight float64
	// HeardAt is when it last answered; zero if it never did.
	LastHeard time.Duration
	// RoundTrip is the mean time of a heartbeat and its answer.
	RoundTrip time.Duration

	alive  context.Context
	cancel context.CancelFunc
}

// Alive returns a context that ends when the node is taken to be lost; nil while
// it is lost or avoided.
func (s *State) Alive() context.Context { return s.alive }

// Heard takes in any message of the node. It does not bring a lost node back.
func (s *State) Heard(now time.Duration) {
	s.LastHeard = max(s.LastHeard, now, 1)
}

// Answered takes in the answer to a heartbeat, which brings a lost node back. It reports
// whether it does.
func (s *State) Answered(now, roundTrip time.Duration) (regained bool) {
	s.Heard(now)
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

// Silent reports whether nothing was received for longer than a time.
func (s *State) IsSilent(now, timeout time.Duration) bool {
	return now-s.LastHeard > timeout
}

// Lose takes the node to be lost, with the calls that it has in flight: it ends the
// context of Alive. It reports whether the node was alive before.
func (s *State) Lose() bool {
	if s.alive == nil {
		return false
	}
	s.cancel()
	s.alive = nil
	return true
}

// Avoid is like Lose, but the calls that the node has in flight go on.
func (s *State) Avoid() bool {
	wasAlive := s.alive != nil
	s.alive = nil
	return wasAlive
}
