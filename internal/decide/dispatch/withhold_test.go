package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// newShardedRig returns a rig with the given number of shards and two leaves for each.
func newShardedRig(t *testing.T, shards int) *rig {
	r := newRig(t, 2*shards, func(config *Config) { config.Budget.Initial = 20 })
	r.topology.Partitions = []catalog.Partition{{Epoch: 1, Shards: shards}}
	for index := range r.topology.Leaves {
		r.topology.Leaves[index].Holdings = []leaf.Holding{{Snapshot: firstSnapshot, Shards: []int{index / 2}}}
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	return r
}

// closeConnection ends the first open attempt by a closed connection of its leaf.
func (r *rig) closeConnection() {
	send := r.open[0]
	r.open = r.open[1:]
	r.perform(r.d.Fail(r.now, send.Attempt, Failure{Sent: true, ConnectionClosed: true}))
}

// A query that crashes each leaf may crash at most one leaf of each shard, and one more by the
// retry that is sent before the second crash. The query must then fail.
func TestRetriesOfCrashingQueryAreWithheld(t *testing.T) {
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
	if !ended || finish.Outcome != OutcomeFailed || finish.Reason != ReasonConnectionLost {
		t.Errorf("got %+v, ended %v, want outcome failed with reason connection_lost", finish, ended)
	}
	if sent > 5 {
		t.Errorf("got attempts at %d leaves, want at most 5", sent)
	}
}

// Crashes that the query does not cause must not cost it shards: the first answer must release its
// withheld retries.
func TestAnswerReleasesWithheldRetries(t *testing.T) {
	r := newShardedRig(t, 4)
	id := r.submit(1)
	for range 3 {
		r.closeConnection()
	}
	if r.d.queries.byID[id].withheld != 2 {
		t.Fatalf("got %d withheld shards, want 2", r.d.queries.byID[id].withheld)
	}
	r.run(50 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered {
		t.Errorf("got %+v, want outcome answered", finish)
	}
}
