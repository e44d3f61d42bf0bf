package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// A standby leaf must get no work while another replica accepts it, even if the standby leaf is
// faster.
func TestStandbyGetsNoWorkWhileAnotherReplicaAccepts(t *testing.T) {
	r := newRig(t, 2, nil)
	r.topology.Leaves[1].Standby = true
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.latency[0], r.latency[1] = 20*time.Millisecond, time.Millisecond
	r.submitEvery10ms(60)
	if r.sent[1] != 0 {
		t.Errorf("got %v attempts by leaf, want none at leaf 1", r.sent)
	}
}

// A standby leaf must get the work when the other replica refuses it or is gone.
func TestStandbyReplacesUnavailableReplica(t *testing.T) {
	r := newRig(t, 2, nil)
	r.topology.Leaves[1].Standby = true
	r.perform(r.d.SetTopology(r.now, r.topology))
	id := r.submit(1)
	r.refuse(leaf.RefusedMoved)
	r.run(20 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered || r.sent[1] != 1 {
		t.Errorf("got %+v with %v attempts by leaf, want outcome answered with 1 at leaf 1", finish, r.sent)
	}
	r.topology.Leaves[0].Usable = false
	r.perform(r.d.SetTopology(r.now, r.topology))
	id = r.submit(1)
	r.run(20 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered || r.sent[1] != 2 {
		t.Errorf("got %+v with %v attempts by leaf, want outcome answered with 2 at leaf 1", finish, r.sent)
	}
}
