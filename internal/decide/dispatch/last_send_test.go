package dispatch

import (
	"testing"
	"time"
)

// submitOnce submits a query that may run once, with a deadline of 200 ms.
func (r *rig) submitOnce() QueryID {
	r.modifyQuery = func(query *Query) {
		query.Class.Name, query.Class.Repeatable, query.Class.HedgePercentile = "once", false, 0
	}
	defer func() { r.modifyQuery = nil }()
	return r.submit(1)
}

// newOnceRig returns a rig with one leaf of two slots whose class of queries that may run once has
// the given latency.
func newOnceRig(t *testing.T, latency time.Duration) *rig {
	r := newRig(t, 1, withoutProbes)
	r.latency[0] = latency
	for range 20 {
		r.submitOnce()
		r.run(latency + 5*time.Millisecond)
	}
	return r
}

// A query that may run once and waits until too little time is left for an attempt must end as not
// run: an attempt would still run at its deadline, and its outcome would be unknown.
func TestNonRepeatableQueryIsNotSentTooLate(t *testing.T) {
	r := newOnceRig(t, 60*time.Millisecond)
	r.latency[0] = 185 * time.Millisecond // a leaf that was held up answers late
	r.submit(1)
	r.submit(1)
	r.run(time.Millisecond)
	sent, submitted := r.sent[0], r.now
	id := r.submitOnce()
	r.run(150 * time.Millisecond)
	finish, ended := r.finishes[id]
	if !ended || finish.Outcome != OutcomeNotRun || finish.Reason != ReasonDeadline {
		t.Errorf("%s after its submission: got %+v, ended %v, want outcome not_run, reason deadline", r.now-submitted, finish, ended)
	}
	r.run(100 * time.Millisecond)
	if r.sent[0] != sent {
		t.Errorf("got %d attempts of the query, want none", r.sent[0]-sent)
	}
}

// A query that may run once must be sent while enough time is left, also after it has waited.
func TestNonRepeatableQueryIsSentWhileTimeIsLeft(t *testing.T) {
	r := newOnceRig(t, 60*time.Millisecond)
	r.submit(1)
	r.submit(1)
	r.run(time.Millisecond)
	id := r.submitOnce()
	r.run(150 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered {
		t.Errorf("got %+v, want outcome answered", finish)
	}
}

// A service time that was overestimated must not keep a class from being tried, since only answers
// correct the estimate.
func TestOverestimatedServiceTimeIsCorrected(t *testing.T) {
	r := newOnceRig(t, 190*time.Millisecond)
	r.latency[0] = 20 * time.Millisecond
	id := r.submitOnce()
	r.run(30 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered {
		t.Errorf("got %+v, want outcome answered", finish)
	}
}

// The last send of a query that waits for the concurrency limit moves with the service time of its
// class. A tick at the former time must set the timer again instead of being due for ever.
func TestLastSendOfPendingQueryMoves(t *testing.T) {
	r := newOnceRig(t, 60*time.Millisecond)
	r.topology.Concurrency = 1
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.latency[0] = time.Hour
	r.submit(1)
	id := r.submitOnce()
	former := r.d.lastSend(r.d.queries.byID[id])
	r.d.classes.byName["once"].serviceTime = 0.02
	r.now = former
	r.perform(r.d.Tick(r.now))
	if at, ok := r.d.NextTick(); !ok || at <= former {
		t.Errorf("got next tick %s after a tick at %s, want a later one", at, former)
	}
	if finish, ended := r.finishes[id]; ended {
		t.Errorf("got %+v, want no finish before the last send", finish)
	}
	r.run(45 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeNotRun || finish.Reason != ReasonDeadline {
		t.Errorf("got %+v, want outcome not_run, reason deadline", finish)
	}
}
