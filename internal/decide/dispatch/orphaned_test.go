package dispatch

import (
	"testing"
	"time"
)

// restarted sends a query to a leaf that crashes behind a network partition, and lists
// all leaves as restarted after a time.
func (r *rig) crashAndRestart(length time.Duration, once bool) QueryID {
	r.modifyQuery = func(query *Query) {
		query.Deadline = r.now + time.Minute
		query.Class.Repeatable = !once
	}
	id := r.submit(1)
	r.unanswered = append(r.unanswered, r.open[0].Attempt)
	r.run(length)
	for index := range r.topology.Leaves {
		r.topology.Leaves[index].BootID = "2"
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	return id
}

// TestAttemptAtAFormerStartIsLost with it: the query has its answer from the next
// start, long before its time is over.
func TestOrphanedAttemptIsRetried(t *testing.T) {
	r := newRig(t, 2, withoutHedges)
	id := r.crashAndRestart(restartListingDelay, false)
	r.run(50 * time.Millisecond)
	if finish, ended := r.finishes[id]; !ended || finish.Outcome != OutcomeAnswered {
		t.Errorf("%+v, %v", finish, ended)
	}
	if len(r.d.fleet.leaves[0].running)+len(r.d.fleet.leaves[1].running) != 0 {
		t.Error("the former start still counts as busy")
	}
}

// TestAttemptThatMayRunOnceAtAFormerStart is not sent again: its fate is unknown, and
// its caller is told so at once.
func TestOrphanedNonRepeatableAttemptIsUnknown(t *testing.T) {
	r := newRig(t, 2, withoutHedges)
	id := r.crashAndRestart(restartListingDelay, true)
	if finish, ended := r.finishes[id]; !ended || finish.Outcome != OutcomeUnknown {
		t.Errorf("%+v, %v", finish, ended)
	}
	if sent := r.sent[0] + r.sent[1]; sent != 1 {
		t.Errorf("sent %d times", sent)
	}
}

// TestYoungAttemptMayRunAtTheNextStart: the news of a start comes after it.
func TestYoungAttemptIsNotOrphaned(t *testing.T) {
	r := newRig(t, 2, withoutHedges)
	id := r.crashAndRestart(restartListingDelay/2, false)
	if len(r.aborted) != 0 {
		t.Errorf("%d attempts given up", len(r.aborted))
	}
	r.unanswered = nil
	r.run(50 * time.Millisecond)
	if _, ended := r.finishes[id]; !ended {
		t.Error("no answer from the next start")
	}
}
