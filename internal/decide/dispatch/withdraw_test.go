package dispatch

import (
	"slices"
	"testing"
	"time"
)

// An attempt that the driver withdraws must not count against its leaf, and the query must be sent
// to another leaf.
func TestWithdrawnAttemptIsNoFaultOfItsLeaf(t *testing.T) {
	r := newRig(t, 2, withoutProbes)
	id := r.submitOnce()
	withdrawn := r.open[0]
	r.open = slices.Delete(r.open, 0, 1)
	r.perform(r.d.Fail(r.now, withdrawn.Attempt, Failure{Withdrawn: true}))
	for index, state := range r.d.LeafStates() {
		if state.BackoffUntil > 0 {
			t.Errorf("leaf %d: got a backoff until %v, want none", index, state.BackoffUntil)
		}
	}
	r.run(20 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered {
		t.Errorf("got %+v, want an answer", finish)
	}
}
