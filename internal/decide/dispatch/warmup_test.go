package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// With attempts sent whenever they are allowed, at random times and with bounds that are set
// repeatedly, no second may contain more attempts than the rate.
func TestWarmupBoundsAttemptsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const until = time.Hour
		rate := rapid.Float64Range(0, 40).Draw(t, "rate")
		var bounds warmup
		now := Time(0)
		bounds.set(now, until, rate)
		var sent []Time
		for range rapid.IntRange(1, 300).Draw(t, "moments") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "told again") == 0 {
				bounds.set(now, until, rate)
			}
			if bounds.allows(now) {
				bounds.spend(now)
				sent = append(sent, now)
			}
		}
		first := 0
		for last := range sent {
			for sent[last]-sent[first] >= time.Second {
				first++
			}
			if count := last - first + 1; float64(count) > rate+1e-6 {
				t.Fatalf("got %d attempts in the second up to %v, want at most %v", count, sent[last], rate)
			}
		}
	})
}

// A cold leaf of which this node has no share must be blocked until it is warm, and unbounded
// afterwards.
func TestWarmupEndsWhenLeafIsWarm(t *testing.T) {
	var bounds warmup
	bounds.set(0, time.Second, 0)
	if bounds.allows(time.Second-1) || !bounds.blocked(time.Second-1) {
		t.Error("got a cold leaf without a share that is allowed or not blocked, want it blocked")
	}
	for range 100 {
		if !bounds.allows(time.Second) || bounds.blocked(time.Second) {
			t.Fatal("got a warm leaf that is bounded, want it unbounded")
		}
		bounds.spend(time.Second)
	}
}

// If this node has no share of a cold leaf, a warm leaf must get the work, and without a warm leaf
// the query must end immediately.
func TestColdLeafWithoutShareGetsNoWork(t *testing.T) {
	r := newRig(t, 2, nil)
	r.topology.Leaves[0].ColdUntil = r.now + time.Minute
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.submitEvery10ms(20)
	if r.sent[0] != 0 || r.sent[1] == 0 {
		t.Errorf("got %v attempts by leaf, want all at leaf 1", r.sent)
	}
	r.topology.Leaves[1].ColdUntil = r.now + time.Minute
	r.perform(r.d.SetTopology(r.now, r.topology))
	id := r.submit(1)
	if finish := r.finishes[id]; finish.Outcome != OutcomeNotRun || finish.Reason != ReasonNoLeaf {
		t.Errorf("got %+v, want outcome not_run with reason no_leaf", finish)
	}
}

// A cold leaf must get its rate of attempts and no more, even if it is the only leaf.
func TestColdLeafGetsAtMostItsRate(t *testing.T) {
	r := newRig(t, 1, nil)
	r.topology.Leaves[0].ColdUntil, r.topology.Leaves[0].ColdRate = r.now+time.Minute, 3
	r.perform(r.d.SetTopology(r.now, r.topology))
	for range 21 { // with deadlines of 200 ms
		r.submit(1)
		r.run(100 * time.Millisecond)
	}
	if want := 1 + 2*2; r.sent[0] != want {
		t.Errorf("got %v attempts in 2.1 s, want %d", r.sent, want)
	}
}
