package share

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/subset"
)

// TestProbeIntervalBoundsFleetProbeRate guards against probes of many nodes that use up the budget
// of a shard with a slow leaf.
func TestProbeIntervalBoundsFleetProbeRate(t *testing.T) {
	for _, test := range []struct {
		nodes int
		want  time.Duration
	}{{1, MinNodeProbeInterval}, {6, MinNodeProbeInterval}, {18, 18 * fleetProbeInterval}, {300, maxNodeProbeInterval}} {
		if got := (Share{nodeCounts: subset.NodeCounts{Total: test.nodes}}).ProbeInterval(); got != test.want {
			t.Errorf("%d nodes: got probe interval %v, want %v", test.nodes, got, test.want)
		}
	}
}
