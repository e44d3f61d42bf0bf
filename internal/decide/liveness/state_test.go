package liveness

import (
	"testing"
	"time"
)

func TestPeerLossAndRecovery(t *testing.T) {
	state := State{RoundTripWeight: 0.5}
	if state.Alive() != nil || state.Lose() || state.Avoid() {
		t.Fatal("a peer is alive that never answered")
	}
	if state.Heard(time.Second); state.Alive() != nil {
		t.Error("a sign of life brought it back")
	}
	if !state.Answered(time.Second, time.Millisecond) || state.Answered(2*time.Second, 3*time.Millisecond) {
		t.Error("it came back not once")
	}
	if state.RoundTrip != 2*time.Millisecond || state.LastHeard != 2*time.Second {
		t.Errorf("%+v", state)
	}
	if state.IsSilent(3*time.Second, time.Second) || !state.IsSilent(3*time.Second+1, time.Second) {
		t.Error("silent at the wrong time")
	}
	alive := state.Alive()
	if !state.Lose() || alive.Err() == nil || state.Alive() != nil {
		t.Error("it is not lost")
	}
}

func TestAvoidKeepsCallsInFlight(t *testing.T) {
	state := State{RoundTripWeight: 0.5}
	state.Answered(1, 1)
	alive := state.Alive()
	if !state.Avoid() || state.Alive() != nil || alive.Err() != nil {
		t.Error("what it has in hand was ended")
	}
	if !state.Answered(2, 1) || state.Alive() == nil {
		t.Error("it did not come back")
	}
}
