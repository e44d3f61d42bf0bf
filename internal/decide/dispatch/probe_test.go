package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// newProbeRig returns a rig of two shards, of which shard 0 has three leaves and shard 1 one. Leaf
// 0, of shard 0, is in probation and due for a probe; leaf 3, of shard 1, answers after 20 ms. Each
// shard gets two attempts at most.
func newProbeRig(t *testing.T) *rig {
	r := newRig(t, 4, func(config *Config) {
		config.MaximumAttempts = 2
		config.Budget.RefillRate = 1
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
		t.Fatal("got the slow leaf without probation, want it in probation")
	}
	r.run(r.d.config.Probation.ProbeInterval + time.Second)
	r.open, r.sent = nil, make([]int, 4)
	return r
}

// A shard without an answer must not be probed, so that its second attempt remains available if the
// first is lost.
func TestUnansweredShardIsNotProbed(t *testing.T) {
	r := newProbeRig(t)
	r.submit(1)
	if len(r.open) != 2 || r.sent[0] != 0 {
		t.Fatalf("got %v attempts by leaf, want 2 and none at leaf 0", r.sent)
	}
	for _, send := range r.open {
		if send.Shard == 0 {
			r.open = nil
			r.perform(r.d.Fail(r.now, send.Attempt, Failure{Sent: true}))
		}
	}
	if r.sent[0] != 0 || r.sent[1]+r.sent[2] != 2 {
		t.Errorf("got %v attempts by leaf after the loss, want 2 at leaves 1 and 2 and none at leaf 0", r.sent)
	}
}

// The slow leaf must be probed once its shard is answered while the query waits for other shards,
// and the query must not wait for the probe.
func TestSlowLeafIsProbedAfterShardIsAnswered(t *testing.T) {
	r := newProbeRig(t)
	id := r.submit(1)
	r.run(10 * time.Millisecond)
	if r.sent[0] != 1 {
		t.Fatalf("got %v attempts by leaf after the answer, want 1 at leaf 0", r.sent)
	}
	r.run(20 * time.Millisecond)
	if got := r.finishes[id]; got.Outcome != OutcomeAnswered || len(got.Answered) != 2 {
		t.Errorf("got %+v, want 2 answers without waiting for the probe", got)
	}
}

// A query that ends with an answer must not send a probe, whether its coverage is sufficient or its
// deadline has passed.
func TestEndedQuerySendsNoProbe(t *testing.T) {
	for name, shape := range map[string]func(*Query){
		"the coverage is sufficient": func(q *Query) { q.MinimumCoverage, q.Objective = 0.5, q.Deadline-198*time.Millisecond },
		"the deadline has passed":    func(q *Query) { q.Deadline -= 196 * time.Millisecond },
	} {
		r := newProbeRig(t)
		r.modifyQuery = shape
		id := r.submit(1)
		r.now += 5 * time.Millisecond
		r.reply(r.open[0])
		if _, ended := r.finishes[id]; !ended || r.sent[0] != 0 {
			t.Errorf("%s: got ended %v with %v attempts by leaf, want an ended query without a probe of leaf 0", name, ended, r.sent)
		}
	}
}
