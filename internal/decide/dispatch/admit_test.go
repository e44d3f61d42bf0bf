package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// TestQueryThatCannotReachItsCoverageSendsNothing: the leaves that there are would
// work in vain.
func TestQueryWithUnattainableCoverageSendsNothing(t *testing.T) {
	const shards = 4
	for _, test := range []struct {
		minimum  float64
		required bool
		sends    int
	}{{0.75, true, 0}, {0.5, true, 2}, {0.75, false, 2}} {
		r := newRig(t, 2, func(c *Config) { c.RequireCoverage = test.required })
		r.topology.Partitions = []catalog.Partition{{Epoch: 1, Shards: shards}}
		for index := range r.topology.Leaves { // two shards have none
			r.topology.Leaves[index].Holdings = []leaf.Holding{{Snapshot: firstSnapshot, Shards: []int{index}}}
		}
		r.perform(r.d.SetTopology(r.now, r.topology))
		r.modifyQuery = func(q *Query) { q.Shards, q.MinimumCoverage = []int{0, 1, 2, 3}, test.minimum }
		id := r.submit(1)
		if sent := r.sent[0] + r.sent[1]; sent != test.sends {
			t.Errorf("%+v: sent %d", test, sent)
		}
		finish, ended := r.finishes[id]
		if refused := ended && finish.Outcome == OutcomeNotRun && finish.Reason == ReasonNoLeaf; refused != (test.sends == 0) {
			t.Errorf("%+v: finished %+v", test, finish)
		}
		r.run(300 * time.Millisecond)
	}
}
