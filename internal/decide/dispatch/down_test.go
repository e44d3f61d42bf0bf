package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// newDownRig has four shards of one leaf each, of which a query needs some share.
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

// refuseConnections ends the open attempts at some leaves, since nobody listens there.
func (r *rig) refuseConnections(leaves ...int) {
	for _, index := range leaves {
		for at := 0; at < len(r.open); at++ {
			if send := r.open[at]; r.leafOf(send) == index {
				r.open = append(r.open[:at:at], r.open[at+1:]...)
				r.perform(r.d.Fail(r.now, send.Attempt, Failure{Refused: true}))
				at = -1
			}
		}
	}
}

// TestQueryEndsOnceItsShardsAreDown, and so do others that wait for them; the next ones
// are refused until the pause is over, and served once a leaf is back.
func TestQueriesEndWhenTooManyShardsAreDown(t *testing.T) {
	r := newDownRig(t, 0.75)
	first, other := r.submit(1), r.submit(1)
	r.refuseConnections(0)
	if _, ended := r.finishes[first]; ended {
		t.Fatal("ended with three of four shards in reach")
	}
	r.refuseConnections(1)
	for _, id := range []QueryID{first, other} {
		if finish, ended := r.finishes[id]; !ended || finish.Reason != ReasonNoLeaf {
			t.Errorf("query %d: %+v, %v", id, finish, ended)
		}
	}
	sent := r.sent[2] + r.sent[3]
	refused := r.submit(1)
	if finish := r.finishes[refused]; finish.Outcome != OutcomeNotRun || finish.Reason != ReasonNoLeaf {
		t.Errorf("the next query: %+v", finish)
	}
	if got := r.sent[2] + r.sent[3]; got != sent {
		t.Errorf("%d attempts in vain", got-sent)
	}
	r.run(r.d.config.Backoff.Maximum)
	served := r.submit(1)
	r.run(100 * time.Millisecond)
	if finish := r.finishes[served]; finish.Outcome != OutcomeAnswered {
		t.Errorf("after the pause: %+v", finish)
	}
	if r.d.fleet.downCount != 0 {
		t.Errorf("%d leaves are down", r.d.fleet.downCount)
	}
}

// TestCoverageThatNeedsNoDownShardIsServed.
func TestQueryIsServedWithoutDownShards(t *testing.T) {
	r := newDownRig(t, 0.5)
	r.submit(1)
	r.refuseConnections(0, 1)
	id := r.submit(1)
	r.run(250 * time.Millisecond)
	if finish := r.finishes[id]; len(finish.Answered) < 2 { // more if the pause ends in time
		t.Errorf("%+v", finish)
	}
}

// TestLeafThatIsSilentIsNotDown: a connection that takes too long shows nothing of who
// listens.
func TestConnectTimeoutDoesNotMarkLeafDown(t *testing.T) {
	r := newDownRig(t, 1)
	id := r.submit(1)
	for _, send := range r.open {
		r.perform(r.d.Fail(r.now, send.Attempt, Failure{}))
	}
	if finish, ended := r.finishes[id]; ended {
		t.Errorf("%+v", finish)
	}
}

// TestLeafOfANewStartIsNotDown, and neither is one that left the topology.
func TestRestartedOrUnlistedLeafIsNotDown(t *testing.T) {
	r := newDownRig(t, 1)
	r.submit(1)
	r.refuseConnections(0, 1)
	r.topology.Leaves[0].BootID = "2"
	r.topology.Leaves = r.topology.Leaves[:1]
	r.perform(r.d.SetTopology(r.now, r.topology))
	if r.d.fleet.downCount != 0 {
		t.Errorf("%d leaves are down", r.d.fleet.downCount)
	}
}
