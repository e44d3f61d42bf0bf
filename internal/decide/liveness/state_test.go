package liveness

import (
	"testing"
	"time"
)

func TestPeerIsLostAndComesBack(t *testing.T) {
	p := State{Weight: 0.5}
	if p.Alive() != nil || p.Lose() || p.Avoid() {
		t.Fatal("a peer is alive that never answered")
	}
	if p.Heard(time.Second); p.Alive() != nil {
		t.Error("a sign of life brought it back")
	}
	if !p.Answered(time.Second, time.Millisecond) || p.Answered(2*time.Second, 3*time.Millisecond) {
		t.Error("it came back not once")
	}
	if p.RoundTrip != 2*time.Millisecond || p.HeardAt != 2*time.Second {
		t.Errorf("%+v", p)
	}
	if p.Silent(3*time.Second, time.Second) || !p.Silent(3*time.Second+1, time.Second) {
		t.Error("silent at the wrong time")
	}
	alive := p.Alive()
	if !p.Lose() || alive.Err() == nil || p.Alive() != nil {
		t.Error("it is not lost")
	}
}

func TestAvoidedPeerFinishes(t *testing.T) {
	p := State{Weight: 0.5}
	p.Answered(1, 1)
	alive := p.Alive()
	if !p.Avoid() || p.Alive() != nil || alive.Err() != nil {
		t.Error("what it has in hand was ended")
	}
	if !p.Answered(2, 1) || p.Alive() == nil {
		t.Error("it did not come back")
	}
}
