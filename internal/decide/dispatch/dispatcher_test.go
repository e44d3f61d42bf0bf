package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

func TestStragglerIsAvoidedAndRecovers(t *testing.T) {
	r := newRig(t, 2, nil)
	r.submitEvery10ms(50)
	r.latency[0] = 80 * time.Millisecond
	r.submitEvery10ms(50)
	before := r.sent[0]
	r.submitEvery10ms(300)
	if got := r.sent[0] - before; got > 15 {
		t.Errorf("%d of 300 attempts to the straggler", got)
	}
	if probes := r.d.Counters().Probes; probes < 2 || !r.d.LeafStates()[0].Probation {
		t.Errorf("%d probes; %+v", probes, r.d.LeafStates()[0])
	}
	r.latency[0] = 8 * time.Millisecond
	r.submitEvery10ms(300)
	before = r.sent[0]
	r.submitEvery10ms(100)
	if got := r.sent[0] - before; got < 20 || r.d.LeafStates()[0].Probation {
		t.Errorf("%d of 100 attempts to the leaf that recovered; %+v", got, r.d.LeafStates()[0])
	}
}

func TestHedgeUsesOtherReplicaAndAbortsLoser(t *testing.T) {
	r := newRig(t, 2, withoutProbes)
	r.submitEvery10ms(100)
	id := r.submit(1)
	late := r.open[0]
	r.latency[r.leafOf(late)] = time.Hour
	r.run(50 * time.Millisecond)
	finish := r.finishes[id]
	if finish.Outcome != OutcomeAnswered || finish.Answered[0].Attempt == late.Attempt || !slices.Contains(r.aborted, late.Attempt) {
		t.Errorf("%+v; aborted %v", finish, r.aborted)
	}
	if counters := r.d.Counters(); counters.Hedges == 0 || counters.HedgesWon == 0 {
		t.Errorf("%+v", counters)
	}
}

// TestOverdueLosersAreMarked tells an attempt that is stuck from one that only
// came second.
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
			t.Errorf("%s: aborts, overdue or not: %v", test.name, r.abortedOverdue)
		}
	}
}

// TestOldAttemptIsExpectedToTakeLonger compares a fresh attempt with one that is
// late: a hedge of the late one may wait for a slot itself.
func TestExpectedRemainingTimeGrowsWithAge(t *testing.T) {
	r := newRig(t, 2, nil)
	r.submitEvery10ms(200)
	id := r.submit(1)
	late := r.d.attempts.find(r.open[0].Attempt)
	fresh := r.d.expectedRemainingTime(r.d.queries.byID[id], late)
	if fresh < 0.009 || fresh > 0.012 {
		t.Errorf("a fresh attempt of 10 ms is expected to take %.3f s", fresh)
	}
	r.d.now += 50 * time.Millisecond
	if left := r.d.expectedRemainingTime(r.d.queries.byID[id], late); left < 0.05 {
		t.Errorf("after 50 ms it is expected to take %.3f s more", left)
	}
}

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
		t.Errorf("%d extra attempts, at most %.0f: %+v", counters.Extra(), maximum, counters)
	}
}

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
		t.Errorf("urgent %+v, other %+v", r.finishes[urgent], r.finishes[low])
	}
}

func TestOverloadIsRefusedImmediately(t *testing.T) {
	r := newRig(t, 1, nil)
	r.submitEvery10ms(20)
	refused := 0
	for range 100 {
		id := r.submit(1)
		if finish := r.finishes[id]; finish.Outcome == OutcomeNotRun {
			refused++
			if finish.Reason != ReasonOverload || finish.RetryAfter <= 0 {
				t.Fatalf("%+v", finish)
			}
		}
	}
	r.run(time.Second)
	if answered := r.d.Counters().Answered; refused < 50 || answered != uint64(120-refused) {
		t.Errorf("%d refused, %d answered", refused, answered)
	}
}

func TestConcurrencyLimit(t *testing.T) {
	r := newRig(t, 2, nil)
	r.topology.Concurrency = 1
	r.perform(r.d.SetTopology(r.now, r.topology))
	other, urgent := r.submit(2), QueryID(0)
	r.submit(2)
	urgent = r.submit(1)
	if len(r.open) != 1 {
		t.Fatalf("%d attempts", len(r.open))
	}
	r.run(21 * time.Millisecond)
	if r.finishes[other].Outcome != OutcomeAnswered || r.finishes[urgent].Outcome != OutcomeAnswered || len(r.finishes) != 2 {
		t.Errorf("%+v", r.finishes)
	}
}

func TestQueryRestartsWhenSnapshotIsGone(t *testing.T) {
	r := newRig(t, 2, nil)
	id := r.submit(1)
	tried := r.open[0].Leaf
	r.refuse(leaf.RefusedSnapshot)
	if r.open[0].Leaf == tried || r.open[0].Snapshot != firstSnapshot || r.open[0].Extra {
		t.Fatalf("%+v", r.open)
	}
	second := catalog.Snapshot{Epoch: 1, Version: 2}
	for index := range r.topology.Leaves {
		r.topology.Leaves[index].Holdings = []leaf.Holding{{Snapshot: second, Shards: []int{0}}}
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.refuse(leaf.RefusedSnapshot)
	if r.open[0].Snapshot != second || r.d.Counters().Restarts != 1 {
		t.Fatalf("%+v", r.open)
	}
	r.run(20 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered || finish.Snapshot != second {
		t.Errorf("%+v", finish)
	}
}

func TestColdLeafLimitGrowsWithReplies(t *testing.T) {
	r := newRig(t, 1, nil)
	r.topology.Leaves[0].BootID, r.topology.Leaves[0].Cold, r.topology.Leaves[0].Slots = "2", true, 4
	r.perform(r.d.SetTopology(r.now, r.topology))
	for range 4 {
		r.submit(1)
	}
	if len(r.open) != 1 {
		t.Errorf("%d attempts on a cold leaf", len(r.open))
	}
	r.run(11 * time.Millisecond)
	if len(r.open) != 2 {
		t.Errorf("%d attempts after the first reply", len(r.open))
	}
}

func TestFailedLeafIsBackedOff(t *testing.T) {
	r := newRig(t, 2, nil)
	r.submitEvery10ms(10)
	id := r.submit(1)
	send := r.open[0]
	r.open = nil
	r.perform(r.d.Fail(r.now, send.Attempt, Failure{Sent: true}))
	if len(r.open) != 1 || !r.open[0].Extra || r.open[0].Leaf == send.Leaf {
		t.Fatalf("%+v", r.open)
	}
	for range 5 {
		r.submit(1)
		r.run(10 * time.Millisecond)
	}
	if state := r.d.LeafStates()[r.leafOf(send)]; state.InFlight != 0 || state.BackoffUntil < r.now {
		t.Errorf("%+v", state)
	}
	if r.finishes[id].Outcome != OutcomeAnswered {
		t.Errorf("%+v", r.finishes[id])
	}
}

// TestLossOnTheWaySaysNothingOfTheLeaf repeats an attempt that was lost with
// another node, and goes on with its leaf as before.
func TestLossInTransitDoesNotBackOffLeaf(t *testing.T) {
	r := newRig(t, 2, nil)
	r.submitEvery10ms(10)
	id := r.submit(1)
	send := r.open[0]
	before := r.d.LeafStates()[r.leafOf(send)]
	r.now += 150 * time.Millisecond
	r.open = nil
	r.perform(r.d.Fail(r.now, send.Attempt, Failure{Sent: true, OnTheWay: true}))
	if len(r.open) != 1 || !r.open[0].Extra {
		t.Fatalf("not repeated: %+v", r.open)
	}
	if state := r.d.LeafStates()[r.leafOf(send)]; state.BackoffUntil > r.now || state.Slowness > before.Slowness {
		t.Errorf("%+v, before %+v", state, before)
	}
	r.run(20 * time.Millisecond)
	if r.finishes[id].Outcome != OutcomeAnswered {
		t.Errorf("%+v", r.finishes[id])
	}
}

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
			t.Errorf("sent to the leaf that failed: %+v", sent)
		}
		r.run(20 * time.Millisecond)
	}
}
