package share

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/subset"
)

// TestProbesOfAllNodesTogetherAreBounded: what many nodes spend on probes of one
// slow leaf would else eat the budget of its shard.
func TestProbeIntervalBoundsFleetProbeRate(t *testing.T) {
	for _, test := range []struct {
		nodes int
		want  time.Duration
	}{{1, MinProbeInterval}, {6, MinProbeInterval}, {18, 18 * fleetProbeInterval}, {300, maxNodeProbeInterval}} {
		if got := (Share{nodeCounts: subset.NodeCounts{Total: test.nodes}}).ProbeInterval(); got != test.want {
			t.Errorf("%d nodes probe each %v, want %v", test.nodes, got, test.want)
		}
	}
}
