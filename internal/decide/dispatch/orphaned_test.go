package dispatch

import (
	"testing"
	"time"
)

// crashAndRestart sends a query to a leaf that crashes behind a network partition, and after the
// given time lists all leaves as restarted.
func (r *rig) crashAndRestart(delay time.Duration, nonRepeatable bool) QueryID {
	r.modifyQuery = func(query *Query) {
		query.Deadline = r.now + time.Minute
		query.Class.Repeatable = !nonRepeatable
	}
	id := r.submit(1)
	r.unanswered = append(r.unanswered, r.open[0].Attempt)
	r.run(delay)
	for index := range r.topology.Leaves {
		r.topology.Leaves[index].BootID = "2"
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	return id
}

// An attempt at a previous incarnation must count as lost and be retried at the new incarnation
// long before the deadline of the query.
func TestOrphanedAttemptIsRetried(t *testing.T) {
	r := newRig(t, 2, withoutHedges)
	id := r.crashAndRestart(restartListingDelay, false)
	r.run(50 * time.Millisecond)
	if finish, ended := r.finishes[id]; !ended || finish.Outcome != OutcomeAnswered {
		t.Errorf("got %+v, ended %v, want outcome answered", finish, ended)
	}
	if len(r.d.fleet.leaves[0].running)+len(r.d.fleet.leaves[1].running) != 0 {
		t.Error("got attempts in flight at the previous incarnations, want none")
	}
}

// An attempt that must not be repeated must not be sent again: its outcome is unknown, and the
// query must end immediately.
func TestOrphanedNonRepeatableAttemptIsUnknown(t *testing.T) {
	r := newRig(t, 2, withoutHedges)
	id := r.crashAndRestart(restartListingDelay, true)
	if finish, ended := r.finishes[id]; !ended || finish.Outcome != OutcomeUnknown {
		t.Errorf("got %+v, ended %v, want outcome unknown", finish, ended)
	}
	if sent := r.sent[0] + r.sent[1]; sent != 1 {
		t.Errorf("got %d attempts, want 1", sent)
	}
}

// An attempt that was sent shortly before the topology lists a new boot ID may already run at the
// new incarnation, so it must not be aborted.
func TestYoungAttemptIsNotOrphaned(t *testing.T) {
	r := newRig(t, 2, withoutHedges)
	id := r.crashAndRestart(restartListingDelay/2, false)
	if len(r.aborted) != 0 {
		t.Errorf("got %d aborted attempts, want 0", len(r.aborted))
	}
	r.unanswered = nil
	r.run(50 * time.Millisecond)
	if _, ended := r.finishes[id]; !ended {
		t.Error("got no finish from the new incarnation, want one")
	}
}
