package frontend

import (
	"slices"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/relay"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/subset"
)

// connectionShare is the part of the leaves' connections that this node and
// others like it divide.
type connectionShare struct {
	census subset.Census
	part   float64
}

// executorPart is the part of a leaf's connections that executors divide, who
// run the requests of the others as a rule. The rest is for the others, who run
// their own when no executor can.
const executorPart = 0.5

// shareOf returns what a node with a role divides, and with whom. The number of
// nodes may be larger than that of the members known.
func shareOf(roles relay.Roles, members []roster.Member, nodes int) connectionShare {
	if len(roles.Executors) == 0 {
		return connectionShare{census: censusOf(members, nodes), part: 1}
	}
	if roles.Self == relay.RoleExecutor {
		return connectionShare{census: censusOf(roles.Executors, len(roles.Executors)), part: executorPart}
	}
	others := slices.DeleteFunc(slices.Clone(members), func(member roster.Member) bool {
		return slices.Contains(roles.Executors, member)
	})
	return connectionShare{census: censusOf(others, nodes-len(roles.Executors)), part: 1 - executorPart}
}

func censusOf(members []roster.Member, nodes int) subset.Census {
	census := subset.Census{All: nodes, ByZone: make(map[string]int)}
	for _, member := range members {
		census.ByZone[member.Zone]++
	}
	return census
}

// shareLeaves returns how many connections this node may keep to each leaf, and
// marks as standby those to which it keeps none while others of their service
// have some.
func (f *Frontend) shareLeaves(topology *dispatch.Topology, share connectionShare) []LeafShare {
	taken := f.connectionsTaken()
	shares := make([]LeafShare, len(topology.Leaves))
	for service, indexes := range f.byService(topology) {
		kept := f.connectionsKept(topology, service, indexes, taken[service], share)
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
func (f *Frontend) byService(topology *dispatch.Topology) map[string][]int {
	groups := make(map[string][]int)
	for index := range topology.Leaves {
		service := f.index.Name(topology.Leaves[index].Holdings[0].Shards[0])
		groups[service] = append(groups[service], index)
	}
	return groups
}

// connectionsKept returns how many connections this node keeps to each leaf of
// a service. Leaves that drain get none, and the others take over their share.
func (f *Frontend) connectionsKept(topology *dispatch.Topology, service string, indexes []int, taken int, share connectionShare) []int {
	kept := make([]int, len(indexes))
	var positions []int
	var replicas []subset.Replica
	for position, index := range indexes {
		one := &topology.Leaves[index]
		if !one.Usable {
			continue
		}
		positions = append(positions, position)
		replicas = append(replicas, subset.Replica{ID: one.BootID, Zone: one.Zone, Connections: int(share.part * float64(taken))})
	}
	if taken == 0 {
		for _, position := range positions {
			kept[position] = f.settings.Leaf.ConnectionsPerLeaf
		}
		return kept
	}
	self := subset.Node{Name: f.settings.Name, Zone: f.settings.Zone}
	for index, connections := range subset.Choose(self, share.census, service, replicas) {
		kept[positions[index]] = min(connections, f.settings.Leaf.ConnectionsPerLeaf)
	}
	return kept
}

// connectionsTaken returns how many connections a leaf of each service takes,
// as far as the configuration tells.
func (f *Frontend) connectionsTaken() map[string]int {
	taken := make(map[string]int)
	if table := f.forwarder.Table(); table != nil {
		for _, declared := range table.Config.Services {
			taken[declared.Name] = declared.MaxConns
		}
	}
	return taken
}
