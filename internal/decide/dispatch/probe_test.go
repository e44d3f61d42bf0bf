package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// newProbing returns a rig of two shards, of which one has three leaves. One of
// those, leaf 0, is known to be slow, and due for a probe; leaf 3, that of the other
// shard, answers after 20 ms. A shard gets two attempts at most.
func newProbeRig(t *testing.T) *rig {
	r := newRig(t, 4, func(config *Config) {
		config.MaximumAttempts = 2
		config.Budget.Refill = 1
	})
	r.hedgePercentile = 0
	r.topology.Partitions = []catalog.Partition{{Epoch: 1, Shards: 2}}
	for index := range r.topology.Leaves {
		held := 0
		if index == 3 {
			held = 1
		}
		r.topology.Leaves[index].Holdings = []leaf.Holding{{Snapshot: firstSnapshot, Shards: []int{held}}}
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.latency = []time.Duration{150 * time.Millisecond, 5 * time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond}
	for range 60 {
		r.submit(1)
		r.run(200 * time.Millisecond)
	}
	if !r.d.LeafStates()[0].Probation {
		t.Fatal("the slow leaf is not known")
	}
	r.run(r.d.config.Probation.ProbeInterval + time.Second)
	r.open, r.sent = nil, make([]int, 4)
	return r
}

// TestProbeLeavesTheSecondAttemptToTheQuery: a shard that waits for its answer is
// not probed, so that its second attempt is there when the first is lost.
func TestUnansweredShardIsNotProbed(t *testing.T) {
	r := newProbeRig(t)
	r.submit(1)
	if len(r.open) != 2 || r.sent[0] != 0 {
		t.Fatalf("sent %v at first", r.sent)
	}
	for _, send := range r.open {
		if send.Shard == 0 {
			r.open = nil
			r.perform(r.d.Fail(r.now, send.Attempt, Failure{Sent: true}))
		}
	}
	if r.sent[0] != 0 || r.sent[1]+r.sent[2] != 2 {
		t.Errorf("sent %v once the first attempt was lost", r.sent)
	}
}

// TestSlowLeafIsProbedOnceItsShardIsAnswered, while the query waits for others.
func TestSlowLeafIsProbedAfterShardIsAnswered(t *testing.T) {
	r := newProbeRig(t)
	id := r.submit(1)
	r.run(10 * time.Millisecond)
	if r.sent[0] != 1 {
		t.Fatalf("sent %v after the answer", r.sent)
	}
	r.run(20 * time.Millisecond)
	if got := r.finishes[id]; got.Outcome != OutcomeAnswered || len(got.Answered) != 2 {
		t.Errorf("%+v: the query waited for the probe", got)
	}
}

// TestQueryThatEndsProbesNothing: neither one that has all it waits for, nor one
// whose time is over.
func TestEndedQuerySendsNoProbe(t *testing.T) {
	for name, shape := range map[string]func(*Query){
		"the answer is enough": func(q *Query) { q.MinimumCoverage, q.Objective = 0.5, q.Deadline-198*time.Millisecond },
		"its time is over":     func(q *Query) { q.Deadline -= 196 * time.Millisecond },
	} {
		r := newProbeRig(t)
		r.modifyQuery = shape
		id := r.submit(1)
		r.now += 5 * time.Millisecond
		r.reply(r.open[0])
		if _, ended := r.finishes[id]; !ended || r.sent[0] != 0 {
			t.Errorf("%s: ended %v, sent %v", name, ended, r.sent)
		}
	}
}
