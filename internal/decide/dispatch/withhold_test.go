package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// shardsOf returns a rig with some shards of two leaves each.
func newShardedRig(t *testing.T, shards int) *rig {
	r := newRig(t, 2*shards, func(config *Config) { config.Budget.Initial = 20 })
	r.topology.Partitions = []catalog.Partition{{Epoch: 1, Shards: shards}}
	for index := range r.topology.Leaves {
		r.topology.Leaves[index].Holdings = []leaf.Holding{{Snapshot: firstSnapshot, Shards: []int{index / 2}}}
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	return r
}

// close ends the first open attempt with its leaf.
func (r *rig) closeConnection() {
	send := r.open[0]
	r.open = r.open[1:]
	r.perform(r.d.Fail(r.now, send.Attempt, Failure{Sent: true, Closed: true}))
}

// TestQueryUnderWhichLeavesEndGetsNoSecondOnes: one leaf of each shard, and one more for
// the first that is lost, before two have been.
func TestQueryUnderWhichLeavesEndGetsNoSecondOnes(t *testing.T) {
	r := newShardedRig(t, 4)
	id := r.submit(1)
	for len(r.open) > 0 {
		r.closeConnection()
		r.run(time.Millisecond)
	}
	sent := 0
	for _, count := range r.sent {
		sent += count
	}
	finish, ended := r.finishes[id]
	if !ended || finish.Outcome != OutcomeFailed || finish.Reason != ReasonLost {
		t.Errorf("%+v, %v", finish, ended)
	}
	if sent > 5 {
		t.Errorf("sent to %d leaves", sent)
	}
}

// TestAnswerLetsSecondAttemptsGo: leaves that end beside a query cost it none of its
// shards.
func TestAnswerLetsSecondAttemptsGo(t *testing.T) {
	r := newShardedRig(t, 4)
	id := r.submit(1)
	for range 3 {
		r.closeConnection()
	}
	if r.d.queries.byID[id].withheld != 2 {
		t.Fatalf("%d shards held back", r.d.queries.byID[id].withheld)
	}
	r.run(50 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered {
		t.Errorf("%+v", finish)
	}
}
