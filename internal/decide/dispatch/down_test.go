package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// newDownRig returns a rig with four shards of one leaf each. A query needs the share minimum of
// them.
func newDownRig(t *testing.T, minimum float64) *rig {
	t.Helper()
	r := newRig(t, 4, func(c *Config) { c.RequireCoverage = true })
	r.topology.Partitions = []catalog.Partition{{Epoch: 1, Shards: 4}}
	for index := range r.topology.Leaves {
		r.topology.Leaves[index].Holdings = []leaf.Holding{{Snapshot: firstSnapshot, Shards: []int{index}}}
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.modifyQuery = func(q *Query) { q.Shards, q.MinimumCoverage = []int{0, 1, 2, 3}, minimum }
	return r
}

// refuseConnections fails the open attempts at the given leaves as if nothing listened at their
// addresses.
func (r *rig) refuseConnections(leaves ...int) {
	for _, index := range leaves {
		for at := 0; at < len(r.open); at++ {
			if send := r.open[at]; r.leafOf(send) == index {
				r.open = append(r.open[:at:at], r.open[at+1:]...)
				r.perform(r.d.Fail(r.now, send.Attempt, Failure{ConnectionRefused: true}))
				at = -1
			}
		}
	}
}

// When too many shards are down, the running queries must end, and new queries must be refused
// until the backoff ends and served once a leaf is back.
func TestQueriesEndWhenTooManyShardsAreDown(t *testing.T) {
	r := newDownRig(t, 0.75)
	first, other := r.submit(1), r.submit(1)
	r.refuseConnections(0)
	if _, ended := r.finishes[first]; ended {
		t.Fatal("got a finish with three of four shards available, want none")
	}
	r.refuseConnections(1)
	for _, id := range []QueryID{first, other} {
		if finish, ended := r.finishes[id]; !ended || finish.Reason != ReasonNoLeaf {
			t.Errorf("query %d: got %+v, ended %v, want reason no_leaf", id, finish, ended)
		}
	}
	sent := r.sent[2] + r.sent[3]
	refused := r.submit(1)
	if finish := r.finishes[refused]; finish.Outcome != OutcomeNotRun || finish.Reason != ReasonNoLeaf {
		t.Errorf("next query: got %+v, want outcome not_run with reason no_leaf", finish)
	}
	if got := r.sent[2] + r.sent[3]; got != sent {
		t.Errorf("got %d attempts of a refused query, want 0", got-sent)
	}
	r.run(r.d.config.Backoff.Maximum)
	served := r.submit(1)
	r.run(100 * time.Millisecond)
	if finish := r.finishes[served]; finish.Outcome != OutcomeAnswered {
		t.Errorf("after the backoff: got %+v, want outcome answered", finish)
	}
	if r.d.fleet.downCount != 0 {
		t.Errorf("got %d leaves that are down, want 0", r.d.fleet.downCount)
	}
}

// A query whose minimum coverage does not need the shards that are down must be served.
func TestQueryIsServedWithoutDownShards(t *testing.T) {
	r := newDownRig(t, 0.5)
	r.submit(1)
	r.refuseConnections(0, 1)
	id := r.submit(1)
	r.run(250 * time.Millisecond)
	if finish := r.finishes[id]; len(finish.Answered) < 2 { // more if the backoff ends in time
		t.Errorf("got %+v, want at least 2 answers", finish)
	}
}

// A connection attempt that times out does not show whether a process listens, so it must not mark
// the leaf as down.
func TestConnectTimeoutDoesNotMarkLeafDown(t *testing.T) {
	r := newDownRig(t, 1)
	id := r.submit(1)
	for _, send := range r.open {
		r.perform(r.d.Fail(r.now, send.Attempt, Failure{}))
	}
	if finish, ended := r.finishes[id]; ended {
		t.Errorf("got %+v, want no finish", finish)
	}
}

// A leaf with a new incarnation must not count as down, nor a leaf that left the topology.
func TestRestartedOrUnlistedLeafIsNotDown(t *testing.T) {
	r := newDownRig(t, 1)
	r.submit(1)
	r.refuseConnections(0, 1)
	r.topology.Leaves[0].BootID = "2"
	r.topology.Leaves = r.topology.Leaves[:1]
	r.perform(r.d.SetTopology(r.now, r.topology))
	if r.d.fleet.downCount != 0 {
		t.Errorf("got %d leaves that are down, want 0", r.d.fleet.downCount)
	}
}
