package node

import (
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/share"
	"github.com/micaplank/micaplank/internal/decide/subset"
	"github.com/micaplank/micaplank/internal/decide/warmup"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/settings"
)

// extraLoad returns what the settings say of the extra load beyond the ratio.
func extraLoad(from settings.Forward) share.Extra {
	return share.Extra{Attempts: from.ExtraSlack, Window: from.ExtraWindow.Duration()}
}

// budgets returns the bounds of the extra load that this node may cause at each shard
// of the Dispatcher, by what the configuration in force says of its service.
func (p *publisher) budgets(roles executors.Roles, members []roster.Member, nodes int) func(shard int) hedge.Bounds {
	shards := make(map[int]bool, len(p.view.services.shards))
	for service := range p.view.services.shards {
		shards[p.view.index.Of(service)] = true
	}
	allowed := extraLoad(p.settings.Forward)
	ofShards := share.OfSlack(roles, members, nodes, true).Budget(allowed)
	ofOthers := share.OfSlack(roles, members, nodes, false).Budget(allowed)
	return func(shard int) hedge.Bounds {
		if shards[shard] {
			return ofShards
		}
		return ofOthers
	}
}

// boundColdLeaves says how many attempts this node may send to each cold leaf whose
// service bounds them.
func (p *publisher) boundColdLeaves(topology *dispatch.Topology, roles executors.Roles, members []roster.Member) {
	now := p.view.clock.Now()
	tolerated := warmup.Tolerance{Overshoot: p.settings.Forward.ColdOvershoot, Slack: p.settings.Forward.ColdSlack}
	for index := range topology.Leaves {
		one := &topology.Leaves[index]
		bound, bounded := p.view.services.coldBounds[p.serviceOf(one)]
		if !bounded || one.ColdUntil <= now {
			one.ColdUntil = 0
			continue
		}
		one.ColdRate = bound.RateOf(p.self, one.BootID, roles, members, tolerated)
	}
}

// shareLeaves returns how many connections this node may keep to each leaf, and marks
// the leaves on standby.
func (p *publisher) shareLeaves(topology *dispatch.Topology, divided share.Share) []LeafShare {
	taken := p.connectionsTaken()
	self := subset.Node{Name: p.self.Name, Zone: p.self.Zone}
	shares := make([]LeafShare, len(topology.Leaves))
	for service, indexes := range p.byService(topology) {
		leaves := make([]share.Leaf, len(indexes))
		for position, index := range indexes {
			one := &topology.Leaves[index]
			leaves[position] = share.Leaf{ID: one.BootID, Zone: one.Zone, Usable: one.Usable}
		}
		bounds := share.Bounds{Taken: taken[service], PerNode: p.settings.Leaf.ConnectionsPerLeaf}
		for position, part := range divided.Connections(self, service, leaves, bounds) {
			one := &topology.Leaves[indexes[position]]
			one.Standby = part.Standby
			shares[indexes[position]] = LeafShare{Address: one.Address, BootID: one.BootID, Connections: part.Connections}
		}
	}
	return shares
}

// byService groups the leaves of the topology, by their index in it.
func (p *publisher) byService(topology *dispatch.Topology) map[string][]int {
	groups := make(map[string][]int)
	for index := range topology.Leaves {
		service := p.serviceOf(&topology.Leaves[index])
		groups[service] = append(groups[service], index)
	}
	return groups
}

// serviceOf returns the service of a leaf: it holds one shard, that of its service.
func (p *publisher) serviceOf(of *dispatch.Leaf) string {
	return p.view.index.Name(of.Holdings[0].Shards[0])
}

// connectionsTaken returns how many connections a leaf of each service takes, by the
// configuration in force.
func (p *publisher) connectionsTaken() map[string]int {
	taken := make(map[string]int)
	if table := p.config.Table(); table != nil {
		for _, declared := range table.Config.Services {
			taken[declared.Name] = declared.MaxConns
		}
	}
	return taken
}
