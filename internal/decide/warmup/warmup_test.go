package warmup

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/roster"
)

// newNodes returns nodes of which the first ones are large.
func newNodes(nodes, large int) []roster.Member {
	members := make([]roster.Member, nodes)
	for index := range members {
		members[index] = roster.Member{Name: fmt.Sprint("node-", index), Cores: 0.2}
		if index < large {
			members[index].Cores = 0.8
		}
	}
	return members
}

// TestNodeRatesSumToAtMostColdLeafRate also checks that most of the rate is shared out, for any
// size of the fleet.
func TestNodeRatesSumToAtMostColdLeafRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newNodes(rapid.IntRange(1, 400).Draw(t, "nodes"), rapid.IntRange(0, 20).Draw(t, "large"))
		shard := rapid.Bool().Draw(t, "shard")
		rateLimit := rapid.Float64Range(10, 200).Draw(t, "rate limit")
		total := 0.0
		for _, member := range members {
			sharers, fraction := findSharers(executors.Assign(member, members), members, shard)
			total += computeRate(member.Name, "leaf-7", sharers, plannedShare*fraction*rateLimit)
		}
		if total > plannedShare*rateLimit+1e-6 || total < plannedShare*(1-executorShare)*rateLimit-1e-6 {
			t.Fatalf("%d nodes send %.1f requests per second to a leaf that can handle %.1f", len(members), total, rateLimit)
		}
	})
}

// TestUnannouncedNodeGetsNoColdLeafRate: the other nodes do not take an unannounced node into
// account.
func TestUnannouncedNodeGetsNoColdLeafRate(t *testing.T) {
	if got := computeRate("new", "leaf-7", newNodes(8, 0), 30); got != 0 {
		t.Errorf("got rate %.1f, want 0", got)
	}
}
