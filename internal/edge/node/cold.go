package node

import (
	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// coldUsed is the part of what a cold leaf bears that all nodes plan to send:
	// attempts sent over more than a second may arrive within one, and nodes that
	// start again have their first token anew.
	coldUsed = 0.8
	// coldExecutors is the part of it that executors divide for services that are
	// shards, whose requests they run as a rule.
	coldExecutors = 0.75
	// coldLeast is the least rate, in attempts a second, of a node that sends to a
	// cold leaf at all. Where there are more nodes than shares of it, only some
	// send.
	coldLeast = 1.5
)

// coldBound is what a configuration says of the cold leaves of a service.
type coldBound struct {
	// rate is how many requests a second one of them bears.
	rate float64
	// shard is set if the service is a shard of some route.
	shard bool
}

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
func coldBoundsOf(config *route.Config, shards map[string]bool) map[string]coldBound {
	bounds := make(map[string]coldBound)
	for _, declared := range config.Services {
		if declared.ColdRate > 0 {
			bounds[declared.Name] = coldBound{rate: declared.ColdRate, shard: shards[declared.Name]}
		}
	}
	return bounds
}

// shareCold says how many attempts this node may send to each cold leaf whose
// service bounds them. No node asks another for that: all compute the same shares
// from the nodes that are announced. The caller holds the mutex.
func (f *Node) shareCold(topology *dispatch.Topology, roles executors.Roles, members []roster.Member) {
	now := f.clock.Now()
	for index := range topology.Leaves {
		one := &topology.Leaves[index]
		bound, bounded := f.coldBounds[f.index.Name(one.Holdings[0].Shards[0])]
		if !bounded || one.ColdUntil <= now {
			one.ColdUntil = 0
			continue
		}
		borne := bound.rate*f.settings.Forward.ColdOvershoot + f.settings.Forward.ColdSlack
		sharers, part := coldSharers(f.member, roles, members, bound.shard)
		one.ColdRate = coldRate(f.member.Name, one.BootID, sharers, coldUsed*part*borne)
	}
}

// coldSharers returns the nodes with which this one divides a part of what a cold
// leaf of a service bears.
func coldSharers(self roster.Member, roles executors.Roles, members []roster.Member, shard bool) ([]roster.Member, float64) {
	if !shard || len(roles.Executors) == 0 {
		return members, 1
	}
	if roles.Self == executors.RoleExecutor {
		return roles.Executors, coldExecutors
	}
	return roles.Others(members), 1 - coldExecutors
}

// coldRate returns the share of one node in a rate that some nodes divide at a
// leaf; zero if it gets none. Where they are too many, those first by a hash of
// both names get some, so that the nodes spread over the leaves.
func coldRate(self, leaf string, sharers []roster.Member, rate float64) float64 {
	wanted := max(min(len(sharers), int(rate/coldLeast)), 1)
	own := xxhash.Sum64String(leaf + "/" + self)
	before, among := 0, false
	for _, member := range sharers {
		switch hash := xxhash.Sum64String(leaf + "/" + member.Name); {
		case member.Name == self:
			among = true
		case hash < own:
			before++
		}
	}
	if !among || before >= wanted {
		return 0
	}
	return rate / float64(wanted)
}
