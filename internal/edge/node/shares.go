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

// extraLoadSettings returns the fixed part of the allowed extra load, which the settings grant
// beyond the ratio.
func extraLoadSettings(configured settings.Forward) share.ExtraLoad {
	return share.ExtraLoad{Attempts: configured.ExtraSlack, Window: configured.ExtraWindow.Duration()}
}

// budgetsByShard returns the bounds of the extra load that this node may cause at each shard of the
// Dispatcher. They depend on whether the configuration in force uses the service as a shard of a
// route.
func (p *publisher) budgetsByShard(roles executors.Roles, members []roster.Member, nodes int) func(shard int) hedge.Bounds {
	shards := make(map[int]bool, len(p.view.services.shards))
	for service := range p.view.services.shards {
		shards[p.view.index.Assign(service)] = true
	}
	allowed := extraLoadSettings(p.settings.Forward)
	shardBounds := share.ForExtraLoad(roles, members, nodes, true).Budget(allowed)
	otherBounds := share.ForExtraLoad(roles, members, nodes, false).Budget(allowed)
	return func(shard int) hedge.Bounds {
		if shards[shard] {
			return shardBounds
		}
		return otherBounds
	}
}

// boundColdLeaves sets the rate at which this node may send attempts to each cold leaf of a service
// that limits it.
func (p *publisher) boundColdLeaves(topology *dispatch.Topology, roles executors.Roles, members []roster.Member) {
	now := p.view.clock.Now()
	tolerance := warmup.Tolerance{Overshoot: p.settings.Forward.ColdOvershoot, Slack: p.settings.Forward.ColdSlack}
	for index := range topology.Leaves {
		leaf := &topology.Leaves[index]
		bound, declared := p.view.services.coldBounds[p.leafService(leaf)]
		if !declared || leaf.ColdUntil <= now {
			leaf.ColdUntil = 0
			continue
		}
		leaf.ColdRate = bound.NodeRate(p.self, leaf.BootID, roles, members, tolerance)
	}
}

// shareLeaves returns how many connections this node may keep to each leaf, and marks the leaves
// that are on standby.
func (p *publisher) shareLeaves(topology *dispatch.Topology, nodeShare share.Share) []LeafShare {
	maxima := p.maxConnections()
	self := subset.Node{Name: p.self.Name, Zone: p.self.Zone}
	shares := make([]LeafShare, len(topology.Leaves))
	for service, indexes := range p.groupByService(topology) {
		leaves := make([]share.Leaf, len(indexes))
		for position, index := range indexes {
			leaf := &topology.Leaves[index]
			leaves[position] = share.Leaf{ID: leaf.BootID, Zone: leaf.Zone, Usable: leaf.Usable}
		}
		bounds := share.ConnectionLimits{PerLeaf: maxima[service], PerNode: p.settings.Leaf.ConnectionsPerLeaf}
		for position, assigned := range nodeShare.Connections(self, service, leaves, bounds) {
			leaf := &topology.Leaves[indexes[position]]
			leaf.Standby = assigned.Standby
			shares[indexes[position]] = LeafShare{Address: leaf.Address, BootID: leaf.BootID, Connections: assigned.Connections}
		}
	}
	return shares
}

// groupByService returns the indexes of the leaves in the topology by service.
func (p *publisher) groupByService(topology *dispatch.Topology) map[string][]int {
	groups := make(map[string][]int)
	for index := range topology.Leaves {
		service := p.leafService(&topology.Leaves[index])
		groups[service] = append(groups[service], index)
	}
	return groups
}

// leafService returns the service of a leaf. A leaf holds exactly one shard, which is its service.
func (p *publisher) leafService(leaf *dispatch.Leaf) string {
	return p.view.index.Name(leaf.Holdings[0].Shards[0])
}

// maxConnections returns how many connections a leaf of each service accepts by the configuration
// in force.
func (p *publisher) maxConnections() map[string]int {
	maxima := make(map[string]int)
	if table := p.config.Table(); table != nil {
		for _, service := range table.Config.Services {
			maxima[service.Name] = service.MaxConnections
		}
	}
	return maxima
}
