package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// stopIn announces the end of the process.
func (r *rig) stopIn(length time.Duration) { r.perform(r.d.Stop(r.now, r.now+length)) }

// submitFor submits a query that may run once or not, with the given time until its deadline.
func (r *rig) submitFor(repeatable bool, timeout time.Duration) QueryID {
	r.modifyQuery = func(query *Query) {
		query.Class.Name, query.Class.Repeatable, query.Deadline = "slow", repeatable, r.now+timeout
		if !repeatable {
			query.Class.Name, query.Class.HedgePercentile = "once", 0
		}
	}
	defer func() { r.modifyQuery = nil }()
	return r.submit(1)
}

// A query that still waits for a leaf when too little time is left before the end of the process
// must end then as not run, long before its own deadline. Otherwise the end of the process cuts it
// off without an answer.
func TestStopEndsWaitingQueriesAsNotRun(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		r := newOnceRig(t, 60*time.Millisecond)
		r.latency[0] = time.Hour
		r.submitFor(false, time.Hour)
		r.submitFor(false, time.Hour)
		r.submitFor(false, time.Hour)
		waiting := r.submitFor(repeatable, time.Hour)
		sent := r.sent[0]
		r.stopIn(300 * time.Millisecond)
		if finish, ended := r.finishes[waiting]; ended {
			t.Errorf("repeatable %v: got %+v at the start of the stop, want no end while an answer is possible", repeatable, finish)
		}
		r.run(299 * time.Millisecond)
		if finish := r.finishes[waiting]; finish.Outcome != OutcomeNotRun || finish.Reason != ReasonStopping || finish.RetryAfter != 0 {
			t.Errorf("repeatable %v: got %+v, want outcome not_run, reason stopping without Retry-After", repeatable, finish)
		}
		if r.sent[0] != sent {
			t.Errorf("repeatable %v: got %d attempts after the stop, want none", repeatable, r.sent[0]-sent)
		}
	}
}

// A query whose leaf does not answer must end before the process does, with the outcome that is
// known then.
func TestStopEndsQueriesInFlight(t *testing.T) {
	for _, test := range []struct {
		repeatable bool
		want       Outcome
	}{{false, OutcomeUnknown}, {true, OutcomeFailed}} {
		r := newOnceRig(t, 60*time.Millisecond)
		r.latency[0] = time.Hour
		id := r.submitFor(test.repeatable, time.Hour)
		r.stopIn(300 * time.Millisecond)
		r.run(300 * time.Millisecond)
		if finish := r.finishes[id]; finish.Outcome != test.want || finish.Reason != ReasonStopping {
			t.Errorf("repeatable %v: got %+v, want outcome %s, reason stopping", test.repeatable, finish, test.want)
		}
	}
}

// A query that comes after the start of the stop must be answered while there is time, and refused
// at once afterwards.
func TestStoppingProcessAnswersWhatItCan(t *testing.T) {
	r := newOnceRig(t, 60*time.Millisecond)
	r.stopIn(300 * time.Millisecond)
	r.run(100 * time.Millisecond)
	early := r.submitFor(false, time.Hour)
	r.run(100 * time.Millisecond)
	if finish := r.finishes[early]; finish.Outcome != OutcomeAnswered {
		t.Errorf("200 ms before the end: got %+v, want an answer", finish)
	}
	r.run(60 * time.Millisecond)
	for _, repeatable := range []bool{false, true} {
		late := r.submitFor(repeatable, time.Hour)
		if finish := r.finishes[late]; !repeatable && (finish.Outcome != OutcomeNotRun || finish.Reason != ReasonStopping) {
			t.Errorf("40 ms before the end: got %+v, want outcome not_run, reason stopping at once", finish)
		}
	}
	r.run(40 * time.Millisecond)
	after := r.submitFor(true, time.Hour)
	if finish := r.finishes[after]; finish.Outcome != OutcomeNotRun || finish.Reason != ReasonStopping {
		t.Errorf("after the end: got %+v, want outcome not_run, reason stopping", finish)
	}
}

// A query of several shards that lacks one which can get no attempt any more must end with the
// others, as soon as they are answered.
func TestStopSettlesWithAnsweredShards(t *testing.T) {
	r := newRig(t, 2, withoutProbes)
	r.topology.Partitions = []catalog.Partition{{Epoch: 1, Shards: 2}}
	for index := range r.topology.Leaves {
		r.topology.Leaves[index].Holdings = []leaf.Holding{{Snapshot: firstSnapshot, Shards: []int{index}}}
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.latency[1] = time.Hour
	for range 3 { // fill the second leaf
		r.modifyQuery = func(query *Query) { query.Shards, query.Deadline = []int{1}, r.now+time.Hour }
		r.submit(1)
	}
	r.modifyQuery = func(query *Query) {
		query.Shards, query.Deadline, query.MinimumCoverage = []int{0, 1}, r.now+time.Hour, 0.5
	}
	id := r.submit(1)
	r.run(20 * time.Millisecond)
	r.stopIn(100 * time.Millisecond)
	r.run(99 * time.Millisecond)
	finish := r.finishes[id]
	if finish.Outcome != OutcomePartial || finish.Reason != ReasonStopping || len(finish.Answered) != 1 {
		t.Errorf("got %+v, want outcome partial with one shard, reason stopping", finish)
	}
}
