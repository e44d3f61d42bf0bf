package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// A query that cannot reach its minimum coverage must not send attempts to the leaves that exist,
// because their work would be wasted.
func TestQueryWithUnattainableCoverageSendsNothing(t *testing.T) {
	const shards = 4
	for _, test := range []struct {
		minimum  float64
		required bool
		sends    int
	}{{0.75, true, 0}, {0.5, true, 2}, {0.75, false, 2}} {
		r := newRig(t, 2, func(c *Config) { c.RequireCoverage = test.required })
		r.topology.Partitions = []catalog.Partition{{Epoch: 1, Shards: shards}}
		for index := range r.topology.Leaves { // shards 2 and 3 have no leaf
			r.topology.Leaves[index].Holdings = []leaf.Holding{{Snapshot: firstSnapshot, Shards: []int{index}}}
		}
		r.perform(r.d.SetTopology(r.now, r.topology))
		r.modifyQuery = func(q *Query) { q.Shards, q.MinimumCoverage = []int{0, 1, 2, 3}, test.minimum }
		id := r.submit(1)
		if sent := r.sent[0] + r.sent[1]; sent != test.sends {
			t.Errorf("%+v: got %d attempts, want %d", test, sent, test.sends)
		}
		finish, ended := r.finishes[id]
		if refused := ended && finish.Outcome == OutcomeNotRun && finish.Reason == ReasonNoLeaf; refused != (test.sends == 0) {
			t.Errorf("%+v: got %+v, want refused %v", test, finish, test.sends == 0)
		}
		r.run(300 * time.Millisecond)
	}
}
