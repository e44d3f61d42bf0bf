package node

import (
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/share"
	"github.com/micaplank/micaplank/internal/edge/subset"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/settings"
)

// extraLoad returns what the settings say of the extra load beyond the ratio.
func extraLoad(from settings.Forward) share.Extra {
	return share.Extra{Attempts: from.ExtraSlack, Window: from.ExtraWindow.Duration()}
}

// budgets returns the bounds of the extra load that this node may cause at each shard
// of the Dispatcher, by what the configuration in force says of its service.
func (f *Node) budgets(roles executors.Roles, members []roster.Member, nodes int) func(shard int) hedge.Bounds {
	shards := make(map[int]bool, len(f.shards))
	for service := range f.shards {
		shards[f.index.Of(service)] = true
	}
	allowed := extraLoad(f.settings.Forward)
	ofShards := share.OfSlack(roles, members, nodes, true).Budget(allowed)
	ofOthers := share.OfSlack(roles, members, nodes, false).Budget(allowed)
	return func(shard int) hedge.Bounds {
		if shards[shard] {
			return ofShards
		}
		return ofOthers
	}
}

// shareLeaves returns how many connections this node may keep to each leaf, and marks
// the leaves on standby.
func (f *Node) shareLeaves(topology *dispatch.Topology, divided share.Share) []LeafShare {
	taken := f.connectionsTaken()
	self := subset.Node{Name: f.settings.Name, Zone: f.settings.Zone}
	shares := make([]LeafShare, len(topology.Leaves))
	for service, indexes := range f.byService(topology) {
		leaves := make([]share.Leaf, len(indexes))
		for position, index := range indexes {
			one := &topology.Leaves[index]
			leaves[position] = share.Leaf{ID: one.BootID, Zone: one.Zone, Usable: one.Usable}
		}
		bounds := share.Bounds{Taken: taken[service], PerNode: f.settings.Leaf.ConnectionsPerLeaf}
		for position, kept := range divided.Connections(self, service, leaves, bounds) {
			one := &topology.Leaves[indexes[position]]
			one.Standby = kept.Standby
			shares[indexes[position]] = LeafShare{Address: one.Address, Instance: one.BootID, Connections: kept.Connections}
		}
	}
	return shares
}

// byService groups the leaves of the topology, by their index in it.
func (f *Node) byService(topology *dispatch.Topology) map[string][]int {
	groups := make(map[string][]int)
	for index := range topology.Leaves {
		service := f.index.Name(topology.Leaves[index].Holdings[0].Shards[0])
		groups[service] = append(groups[service], index)
	}
	return groups
}

// connectionsTaken returns how many connections a leaf of each service takes, by the
// configuration in force.
func (f *Node) connectionsTaken() map[string]int {
	taken := make(map[string]int)
	if table := f.forwarder.Table(); table != nil {
		for _, declared := range table.Config.Services {
			taken[declared.Name] = declared.MaxConns
		}
	}
	return taken
}
