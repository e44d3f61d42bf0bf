package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// A leaf that becomes slow must get few attempts, be probed, and get its share of the work back
// once it is fast again.
func TestStragglerIsAvoidedAndRecovers(t *testing.T) {
	r := newRig(t, 2, nil)
	r.submitEvery10ms(50)
	r.latency[0] = 80 * time.Millisecond
	r.submitEvery10ms(50)
	before := r.sent[0]
	r.submitEvery10ms(300)
	if got := r.sent[0] - before; got > 15 {
		t.Errorf("got %d of 300 attempts at the straggler, want at most 15", got)
	}
	if probes := r.d.Counters().Probes; probes < 2 || !r.d.LeafStates()[0].Probation {
		t.Errorf("got %d probes and leaf state %+v, want at least 2 probes and probation", probes, r.d.LeafStates()[0])
	}
	r.latency[0] = 8 * time.Millisecond
	r.submitEvery10ms(300)
	before = r.sent[0]
	r.submitEvery10ms(100)
	if got := r.sent[0] - before; got < 20 || r.d.LeafStates()[0].Probation {
		t.Errorf("got %d of 100 attempts at the recovered leaf and leaf state %+v, want at least 20 without probation", got, r.d.LeafStates()[0])
	}
}

// A late attempt must be hedged on the other replica and aborted when the hedge answers first.
func TestHedgeUsesOtherReplicaAndAbortsLoser(t *testing.T) {
	r := newRig(t, 2, withoutProbes)
	r.submitEvery10ms(100)
	id := r.submit(1)
	late := r.open[0]
	r.latency[r.leafOf(late)] = time.Hour
	r.run(50 * time.Millisecond)
	finish := r.finishes[id]
	if finish.Outcome != OutcomeAnswered || finish.Answered[0].Attempt == late.Attempt || !slices.Contains(r.aborted, late.Attempt) {
		t.Errorf("got %+v with aborted attempts %v, want an answer of the hedge and an abort of %x", finish, r.aborted, late.Attempt)
	}
	if counters := r.d.Counters(); counters.Hedges == 0 || counters.HedgesWon == 0 {
		t.Errorf("got counters %+v, want hedges sent and won", counters)
	}
}

// An Abort must distinguish an attempt that is stuck from one that was merely slower than its
// hedge.
func TestAbortMarksOverdueAttempts(t *testing.T) {
	for _, test := range []struct {
		name          string
		first, second time.Duration // that the attempts take
		overdue       bool
	}{
		{"the second is sent just before the first ends", 15 * time.Millisecond, 30 * time.Millisecond, false},
		{"the first is stuck", time.Second, 15 * time.Millisecond, true},
	} {
		r := newRig(t, 2, nil)
		r.submitEvery10ms(200)
		r.submit(1)
		first := r.leafOf(r.open[0])
		r.latency[first], r.latency[1-first] = test.first, test.second
		r.abortedOverdue = nil
		r.run(60 * time.Millisecond)
		if len(r.abortedOverdue) != 1 || r.abortedOverdue[0] != test.overdue {
			t.Errorf("%s: got aborts with Overdue %v, want one with %v", test.name, r.abortedOverdue, test.overdue)
		}
	}
}

// A late attempt must be expected to take longer than a fresh one, so that a hedge of the late
// attempt is sent even if the hedge has to wait for a slot.
func TestExpectedRemainingTimeGrowsWithAge(t *testing.T) {
	r := newRig(t, 2, nil)
	r.submitEvery10ms(200)
	id := r.submit(1)
	late := r.d.attempts.find(r.open[0].Attempt)
	fresh := r.d.expectedRemainingTime(r.d.queries.byID[id], late)
	if fresh < 0.009 || fresh > 0.012 {
		t.Errorf("got %.4f s for a fresh attempt, want 0.009 to 0.012 s", fresh)
	}
	r.d.now += 50 * time.Millisecond
	if left := r.d.expectedRemainingTime(r.d.queries.byID[id], late); left < 0.05 {
		t.Errorf("got %.4f s for an attempt of 50 ms, want at least 0.05 s", left)
	}
}

// Extra attempts must stay within the initial budget plus the earned share of the needed attempts.
func TestExtraLoadStaysWithinBudget(t *testing.T) {
	r := newRig(t, 2, nil)
	r.hedgePercentile = 0.5
	r.submitEvery10ms(100)
	for step := range 2000 {
		r.submit(1)
		if step%8 == 0 {
			r.latency[r.leafOf(r.open[len(r.open)-1])] = 60 * time.Millisecond
		}
		r.run(10 * time.Millisecond)
		if step%8 == 4 {
			r.latency[0], r.latency[1] = 10*time.Millisecond, 10*time.Millisecond
		}
	}
	config := DefaultConfig().Budget
	counters := r.d.Counters()
	if maximum := config.Initial + extraShare*float64(counters.Needed); float64(counters.Extra()) > maximum || counters.Extra() < 20 {
		t.Errorf("got %d extra attempts, want 20 to %.0f: %+v", counters.Extra(), maximum, counters)
	}
}

// A waiting query of higher priority must be served before one of lower priority that arrived
// earlier.
func TestUrgentWorkIsSentFirst(t *testing.T) {
	r := newRig(t, 1, func(config *Config) { config.Limit.Headroom = 0 })
	r.submitEvery10ms(20)
	r.submit(2)
	r.submit(2)
	r.submit(2)
	low := r.submit(2)
	urgent := r.submit(1)
	r.run(25 * time.Millisecond)
	if r.finishes[urgent].Outcome != OutcomeAnswered || r.finishes[low].Outcome != "" {
		t.Errorf("got %+v of the urgent query and %+v of the other, want an answer of the urgent query only", r.finishes[urgent], r.finishes[low])
	}
}

// Queries beyond the capacity must be refused on submission with a Retry-After, and all admitted
// queries must be answered.
func TestOverloadIsRefusedImmediately(t *testing.T) {
	r := newRig(t, 1, nil)
	r.submitEvery10ms(20)
	refused := 0
	for range 100 {
		id := r.submit(1)
		if finish := r.finishes[id]; finish.Outcome == OutcomeNotRun {
			refused++
			if finish.Reason != ReasonOverload || finish.RetryAfter <= 0 {
				t.Fatalf("got %+v, want reason overload with RetryAfter", finish)
			}
		}
	}
	r.run(time.Second)
	if answered := r.d.Counters().Answered; refused < 50 || answered != uint64(120-refused) {
		t.Errorf("got %d refused and %d answered queries, want at least 50 refused and all others answered", refused, answered)
	}
}

// Queries beyond the concurrency limit must wait and start in order of priority.
func TestConcurrencyLimit(t *testing.T) {
	r := newRig(t, 2, nil)
	r.topology.Concurrency = 1
	r.perform(r.d.SetTopology(r.now, r.topology))
	other, urgent := r.submit(2), QueryID(0)
	r.submit(2)
	urgent = r.submit(1)
	if len(r.open) != 1 {
		t.Fatalf("got %d attempts, want 1", len(r.open))
	}
	r.run(21 * time.Millisecond)
	if r.finishes[other].Outcome != OutcomeAnswered || r.finishes[urgent].Outcome != OutcomeAnswered || len(r.finishes) != 2 {
		t.Errorf("got %+v, want answers of the first and the urgent query only", r.finishes)
	}
}

// A refusal because of a missing snapshot must be resent to another leaf. Once no leaf holds the
// snapshot, the query must restart at the newer one.
func TestQueryRestartsWhenSnapshotIsGone(t *testing.T) {
	r := newRig(t, 2, nil)
	id := r.submit(1)
	tried := r.open[0].Leaf
	r.refuse(leaf.RefusedSnapshot)
	if r.open[0].Leaf == tried || r.open[0].Snapshot != firstSnapshot || r.open[0].Extra {
		t.Fatalf("got attempts %+v, want a resend to the other leaf at the first snapshot", r.open)
	}
	second := catalog.Snapshot{Epoch: 1, Version: 2}
	for index := range r.topology.Leaves {
		r.topology.Leaves[index].Holdings = []leaf.Holding{{Snapshot: second, Shards: []int{0}}}
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.refuse(leaf.RefusedSnapshot)
	if r.open[0].Snapshot != second || r.d.Counters().Restarts != 1 {
		t.Fatalf("got attempts %+v, want one restart at the second snapshot", r.open)
	}
	r.run(20 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered || finish.Snapshot != second {
		t.Errorf("got %+v, want outcome answered at %+v", finish, second)
	}
}

// A cold leaf must start with one attempt, and its limit must grow with its replies.
func TestColdLeafLimitGrowsWithReplies(t *testing.T) {
	r := newRig(t, 1, nil)
	r.topology.Leaves[0].BootID, r.topology.Leaves[0].Cold, r.topology.Leaves[0].Slots = "2", true, 4
	r.perform(r.d.SetTopology(r.now, r.topology))
	for range 4 {
		r.submit(1)
	}
	if len(r.open) != 1 {
		t.Errorf("got %d attempts on a cold leaf, want 1", len(r.open))
	}
	r.run(11 * time.Millisecond)
	if len(r.open) != 2 {
		t.Errorf("got %d attempts after the first reply, want 2", len(r.open))
	}
}

// A failed leaf must get no attempts during its backoff, and the query must be retried on the other
// leaf.
func TestFailedLeafIsBackedOff(t *testing.T) {
	r := newRig(t, 2, nil)
	r.submitEvery10ms(10)
	id := r.submit(1)
	send := r.open[0]
	r.open = nil
	r.perform(r.d.Fail(r.now, send.Attempt, Failure{Sent: true}))
	if len(r.open) != 1 || !r.open[0].Extra || r.open[0].Leaf == send.Leaf {
		t.Fatalf("got attempts %+v, want a retry on the other leaf", r.open)
	}
	for range 5 {
		r.submit(1)
		r.run(10 * time.Millisecond)
	}
	if state := r.d.LeafStates()[r.leafOf(send)]; state.InFlight != 0 || state.BackoffUntil < r.now {
		t.Errorf("got %+v, want a leaf in backoff without attempts", state)
	}
	if r.finishes[id].Outcome != OutcomeAnswered {
		t.Errorf("got %+v, want outcome answered", r.finishes[id])
	}
}

// An attempt that was lost together with the node that forwarded it must be retried, without a
// backoff or a higher slowness of its leaf.
func TestLossInTransitDoesNotBackOffLeaf(t *testing.T) {
	r := newRig(t, 2, nil)
	r.submitEvery10ms(10)
	id := r.submit(1)
	send := r.open[0]
	before := r.d.LeafStates()[r.leafOf(send)]
	r.now += 150 * time.Millisecond
	r.open = nil
	r.perform(r.d.Fail(r.now, send.Attempt, Failure{Sent: true, LostAtRelay: true}))
	if len(r.open) != 1 || !r.open[0].Extra {
		t.Fatalf("got attempts %+v, want one retry", r.open)
	}
	if state := r.d.LeafStates()[r.leafOf(send)]; state.BackoffUntil > r.now || state.Slowness > before.Slowness {
		t.Errorf("got %+v, want no backoff and at most the slowness of %+v", state, before)
	}
	r.run(20 * time.Millisecond)
	if r.finishes[id].Outcome != OutcomeAnswered {
		t.Errorf("got %+v, want outcome answered", r.finishes[id])
	}
}

// A request that must not be repeated must avoid a leaf that has failed and not answered since.
func TestNonRepeatableRequestAvoidsFailedLeaves(t *testing.T) {
	r := newRig(t, 2, nil)
	r.submitEvery10ms(10)
	r.submit(1)
	failed := r.open[0]
	r.open = nil
	r.perform(r.d.Fail(r.now, failed.Attempt, Failure{Sent: true}))
	r.run(time.Second)
	class := catalog.Class{Name: "file", Priority: 1}
	for range 4 {
		r.nextID++
		r.perform(r.d.Submit(r.now, Query{ID: r.nextID, Class: class, Deadline: r.now + time.Second}))
		if sent := r.open[len(r.open)-1]; sent.Leaf == failed.Leaf {
			t.Errorf("got %+v to the failed leaf, want another leaf", sent)
		}
		r.run(20 * time.Millisecond)
	}
}
