package liveness

import (
	"testing"
	"time"
)

func TestPeerLossAndRecovery(t *testing.T) {
	state := State{RoundTripWeight: 0.5}
	if state.Alive() != nil || state.MarkLost() || state.MarkUnused() {
		t.Fatal("a peer is alive before its first answer")
	}
	if state.RecordMessage(time.Second); state.Alive() != nil {
		t.Error("a message other than an answer made a lost peer alive")
	}
	if !state.RecordAnswer(time.Second, time.Millisecond) || state.RecordAnswer(2*time.Second, 3*time.Millisecond) {
		t.Error("want the first answer, and only that, to make the peer alive")
	}
	if state.RoundTrip != 2*time.Millisecond || state.LastHeard != 2*time.Second {
		t.Errorf("got round trip %v and last message at %v, want 2ms and 2s", state.RoundTrip, state.LastHeard)
	}
	if state.IsSilent(3*time.Second, time.Second) || !state.IsSilent(3*time.Second+1, time.Second) {
		t.Error("want the peer to be silent from just after the timeout")
	}
	alive := state.Alive()
	if !state.MarkLost() || alive.Err() == nil || state.Alive() != nil {
		t.Error("want a lost peer not to be alive, and its context to have ended")
	}
}

func TestAvoidKeepsCallsInFlight(t *testing.T) {
	state := State{RoundTripWeight: 0.5}
	state.RecordAnswer(1, 1)
	alive := state.Alive()
	if !state.MarkUnused() || state.Alive() != nil || alive.Err() != nil {
		t.Error("want no new calls to a peer that is avoided, and its calls in flight to continue")
	}
	if !state.RecordAnswer(2, 1) || state.Alive() == nil {
		t.Error("want an avoided peer to be alive again after an answer")
	}
}
