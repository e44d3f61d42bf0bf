package node

import (
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/edge/subset"
)

// shareLeaves returns how many connections this node may keep to each leaf, and
// marks as standby those to which it keeps none while others of their service
// have some.
func (f *Node) shareLeaves(topology *dispatch.Topology, divided share) []LeafShare {
	taken := f.connectionsTaken()
	shares := make([]LeafShare, len(topology.Leaves))
	for service, indexes := range f.byService(topology) {
		kept := f.connectionsKept(topology, service, indexes, taken[service], divided)
		some := false
		for position, index := range indexes {
			one := &topology.Leaves[index]
			shares[index] = LeafShare{Address: one.Address, Instance: one.BootID, Connections: kept[position]}
			some = some || kept[position] > 0
		}
		for position, index := range indexes {
			topology.Leaves[index].Standby = some && kept[position] == 0
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

// connectionsKept returns how many connections this node keeps to each leaf of
// a service. Leaves that drain get none, and the others take over their share.
func (f *Node) connectionsKept(topology *dispatch.Topology, service string, indexes []int, taken int, divided share) []int {
	kept := make([]int, len(indexes))
	var positions []int
	var replicas []subset.Replica
	for position, index := range indexes {
		one := &topology.Leaves[index]
		if !one.Usable {
			continue
		}
		positions = append(positions, position)
		replicas = append(replicas, subset.Replica{ID: one.BootID, Zone: one.Zone, Connections: int(divided.part * float64(taken))})
	}
	if taken == 0 {
		for _, position := range positions {
			kept[position] = f.settings.Leaf.ConnectionsPerLeaf
		}
		return kept
	}
	self := subset.Node{Name: f.settings.Name, Zone: f.settings.Zone}
	for index, connections := range subset.Choose(self, divided.census, service, replicas) {
		kept[positions[index]] = min(connections, f.settings.Leaf.ConnectionsPerLeaf)
	}
	return kept
}

// connectionsTaken returns how many connections a leaf of each service takes,
// as far as the configuration tells.
func (f *Node) connectionsTaken() map[string]int {
	taken := make(map[string]int)
	if table := f.forwarder.Table(); table != nil {
		for _, declared := range table.Config.Services {
			taken[declared.Name] = declared.MaxConns
		}
	}
	return taken
}
