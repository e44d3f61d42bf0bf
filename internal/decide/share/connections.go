package share

import (
	"slices"

	"github.com/micaplank/micaplank/internal/decide/subset"
)

// Leaf is one leaf of a service.
type Leaf struct {
	// ID is the name of the leaf's incarnation.
	ID   string
	Zone string
	// Usable is set if the leaf may get new attempts.
	Usable bool
}

// LeafAllocation describes the connections that a node keeps to one leaf.
type LeafAllocation struct {
	// Connections is how many connections the node may keep.
	Connections int
	// Standby is set if the node keeps no connection to this leaf while it keeps some to other
	// leaves of the service: the leaf gets work only if none of the others can run it.
	Standby bool
}

// ConnectionLimits limits the connections to one leaf of a service.
type ConnectionLimits struct {
	// PerLeaf is how many connections a leaf accepts from all nodes together; zero if unknown.
	PerLeaf int
	// PerNode is the largest number of connections that one node keeps.
	PerNode int
}

// Connections returns the connections that the node keeps to each leaf of a service. Leaves that
// may get no new attempts get none, and the other leaves take over their share.
//
// If a leaf accepts fewer connections than there are nodes, a node without a subset of the leaves
// opens a connection for most attempts: with 64 nodes about 60 % of the attempts, with subsets less
// than 9 %.
func (s Share) Connections(self subset.Node, service string, leaves []Leaf, bounds ConnectionLimits) []LeafAllocation {
	allocations := make([]LeafAllocation, len(leaves))
	var positions []int
	var replicas []subset.Replica
	for position, leaf := range leaves {
		if !leaf.Usable {
			continue
		}
		positions = append(positions, position)
		replicas = append(replicas, subset.Replica{ID: leaf.ID, Zone: leaf.Zone, MaxConnections: int(s.fraction * float64(bounds.PerLeaf))})
	}
	for index, connections := range s.allocate(self, service, replicas, bounds) {
		allocations[positions[index]].Connections = connections
	}
	markStandby(allocations)
	return allocations
}

// allocate returns how many connections the node keeps to each replica.
func (s Share) allocate(self subset.Node, service string, replicas []subset.Replica, bounds ConnectionLimits) []int {
	if bounds.PerLeaf == 0 {
		return slices.Repeat([]int{bounds.PerNode}, len(replicas))
	}
	connections := subset.Choose(self, s.nodeCounts, service, replicas)
	for index := range connections {
		connections[index] = min(connections[index], bounds.PerNode)
	}
	return connections
}

// markStandby marks the leaves without a connection if others have one.
func markStandby(allocations []LeafAllocation) {
	anyConnected := false
	for _, allocation := range allocations {
		anyConnected = anyConnected || allocation.Connections > 0
	}
	for position := range allocations {
		allocations[position].Standby = anyConnected && allocations[position].Connections == 0
	}
}
