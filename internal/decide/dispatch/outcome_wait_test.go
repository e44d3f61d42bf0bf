package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// submitAwaited submits a query that may run once, with a deadline of 200 ms and an outcome wait of
// 100 ms, to a leaf with the given latency.
func (r *rig) submitAwaited(latency time.Duration) QueryID {
	r.latency[0] = latency
	r.modifyQuery = func(query *Query) {
		query.Class.Name, query.Class.Repeatable, query.Class.HedgePercentile = "once", false, 0
		query.OutcomeWait = 100 * time.Millisecond
	}
	return r.submit(1)
}

// The reply to a query that may run once must count after the deadline too: it is the only proof of
// the outcome.
func TestLateReplyTellsTheOutcome(t *testing.T) {
	r := newRig(t, 1, withoutProbes)
	id := r.submitAwaited(250 * time.Millisecond)
	r.run(240 * time.Millisecond)
	if finish, ended := r.finishes[id]; ended || len(r.aborted) != 0 {
		t.Fatalf("40ms after the deadline: got %+v and %d aborted attempts, want neither", finish, len(r.aborted))
	}
	r.run(20 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered {
		t.Errorf("got %+v, want outcome answered", finish)
	}
}

// A refusal after the deadline proves that the query did not run. Nothing may be sent instead.
func TestLateRefusalTellsTheOutcome(t *testing.T) {
	r := newRig(t, 2, withoutProbes)
	id := r.submitAwaited(time.Hour)
	r.latency[1] = time.Hour
	r.run(220 * time.Millisecond)
	r.refuse(leaf.RefusedLate)
	if finish := r.finishes[id]; finish.Outcome != OutcomeNotRun || finish.Reason != ReasonDeadline {
		t.Errorf("got %+v, want outcome not_run, reason deadline", finish)
	}
	if sent := r.sent[0] + r.sent[1]; sent != 1 {
		t.Errorf("got %d attempts, want 1", sent)
	}
}

// Without a reply the wait must end, and the attempt must be aborted.
func TestOutcomeWaitEnds(t *testing.T) {
	r := newRig(t, 1, withoutProbes)
	id := r.submitAwaited(time.Hour)
	r.run(295 * time.Millisecond)
	if finish, ended := r.finishes[id]; ended {
		t.Fatalf("got %+v within the outcome wait, want no finish", finish)
	}
	r.run(10 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeUnknown || len(r.aborted) != 1 {
		t.Errorf("got %+v and %d aborted attempts, want outcome unknown and 1", finish, len(r.aborted))
	}
}

// A query that can be repeated must end at its deadline.
func TestRepeatableQueryDoesNotAwaitItsOutcome(t *testing.T) {
	r := newRig(t, 1, withoutProbes)
	r.modifyQuery = func(query *Query) { query.OutcomeWait = 100 * time.Millisecond }
	r.latency[0] = time.Hour
	id := r.submit(1)
	r.run(201 * time.Millisecond)
	if finish, ended := r.finishes[id]; !ended {
		t.Errorf("got %+v, ended %v, want the end at the deadline", finish, ended)
	}
}
