package node

import (
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/warmup"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/roster"
)

// shardsOf returns the services that are shards of some route.
func shardsOf(config *route.Config) map[string]bool {
	shards := make(map[string]bool)
	for index := range config.Routes {
		for _, name := range config.Routes[index].Shards {
			shards[name] = true
		}
	}
	return shards
}

// coldBoundsOf returns the services whose cold leaves are bounded.
func coldBoundsOf(config *route.Config, shards map[string]bool) map[string]warmup.Bound {
	bounds := make(map[string]warmup.Bound)
	for _, declared := range config.Services {
		if declared.ColdRate > 0 {
			bounds[declared.Name] = warmup.Bound{Rate: declared.ColdRate, Shard: shards[declared.Name]}
		}
	}
	return bounds
}

// boundColdLeaves says how many attempts this node may send to each cold leaf whose
// service bounds them. The caller holds the mutex.
func (f *Node) boundColdLeaves(topology *dispatch.Topology, roles executors.Roles, members []roster.Member) {
	now := f.clock.Now()
	tolerated := warmup.Tolerance{Overshoot: f.settings.Forward.ColdOvershoot, Slack: f.settings.Forward.ColdSlack}
	for index := range topology.Leaves {
		one := &topology.Leaves[index]
		bound, bounded := f.coldBounds[f.index.Name(one.Holdings[0].Shards[0])]
		if !bounded || one.ColdUntil <= now {
			one.ColdUntil = 0
			continue
		}
		one.ColdRate = bound.RateOf(f.member, one.BootID, roles, members, tolerated)
	}
}
