// Package subset decides to which replicas of a shard a node keeps connections if the replicas
// accept fewer connections than there are nodes. It is pure.
//
// Rule: every node computes its own subset from shared knowledge by rendezvous hashing. Replicas
// of its own zone come first if they can accept all nodes of the zone.
//
// Inputs: the name and zone of the node, the number of nodes in each zone, and the replicas of a
// shard with the number of connections that each accepts from all nodes together.
//
// Reason: no node has to assign connections. Hashing spreads the nodes evenly over the replicas
// and moves few connections when a replica or a node is added or removed. Ranks in a sorted list
// would move many connections; connections that are closed between requests would be reopened for
// about 60 % of the attempts.
package subset

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// usableShare is the share of a replica's connections that nodes plan to keep. Connections
	// that are being closed, and those of nodes that start, need the rest.
	usableShare = 0.96
	// spareDeviations is how many standard deviations of the hashing are left free as well. By
	// the normal distribution, about 1 % of the replicas get more connections than they accept.
	spareDeviations = 2.2
	// localShare is the share of its connections up to which nodes may prefer a replica of their
	// own zone. Nodes of other zones need the rest.
	localShare = 0.9
)

// Replica is one leaf of a shard.
type Replica struct {
	ID   string
	Zone string
	// MaxConnections is how many connections the leaf accepts from all nodes together.
	MaxConnections int
}

// Node is the node whose subset is computed.
type Node struct {
	Name string
	Zone string
}

// NodeCounts counts the nodes that share the replicas.
type NodeCounts struct {
	Total  int
	ByZone map[string]int
}

// Choose returns, for each replica of a shard, how many connections the node may keep. Zero means
// that the replica is not in the node's subset.
func Choose(self Node, counts NodeCounts, shard string, replicas []Replica) []int {
	connections := make([]int, len(replicas))
	nodes := float64(max(counts.Total, 1))
	total := 0.0
	enoughForEach := true
	for index, replica := range replicas {
		share := plannedConnections(replica.MaxConnections, nodes) / nodes
		connections[index] = int(share)
		enoughForEach = enoughForEach && share >= 1
		total += share
	}
	if enoughForEach {
		return connections
	}
	size := subsetSize(self, shard, total, len(replicas))
	clear(connections)
	for _, index := range rankReplicas(self, counts, shard, replicas, size)[:size] {
		connections[index] = 1
	}
	return connections
}

// plannedConnections returns how many connections the nodes together may plan to keep to a
// replica. If there are enough for each node, hashing is not involved. Otherwise the number of
// nodes that select the replica by hashing has a binomial distribution, and the planned number m
// solves
//
//	m + spareDeviations * sqrt(m * (1 - m/nodes)) = capacity.
func plannedConnections(connections int, nodes float64) float64 {
	capacity := usableShare * float64(connections)
	if capacity >= nodes {
		return capacity
	}
	square := spareDeviations * spareDeviations
	a := 1 + square/nodes
	b := 2*capacity + square
	return (b - math.Sqrt(b*b-4*a*capacity*capacity)) / (2 * a)
}

// subsetSize rounds the number of connections that the node may keep to a shard. It rounds up or
// down by hash so that all nodes together use the available connections.
func subsetSize(self Node, shard string, total float64, replicas int) int {
	count := int(total)
	if hashFraction(self.Name, shard) < total-float64(count) {
		count++
	}
	return min(count, replicas)
}

// rankReplicas returns the indexes of the replicas in the order in which the node should connect
// to them.
func rankReplicas(self Node, counts NodeCounts, shard string, replicas []Replica, size int) []int {
	order := make([]int, len(replicas))
	weights := make([]float64, len(replicas))
	for index, replica := range replicas {
		order[index] = index
		weights[index] = hashFraction(self.Name, shard, replica.ID)
		if replica.Zone == self.Zone && fitsLocalNodes(counts, replica, len(replicas), size) {
			weights[index]++
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return order
}

// fitsLocalNodes reports whether a replica can accept all nodes of its zone in addition to its
// share of the other nodes.
func fitsLocalNodes(counts NodeCounts, replica Replica, replicas, size int) bool {
	local := float64(counts.ByZone[replica.Zone])
	others := float64(counts.Total) - local
	spread := float64(size) / float64(replicas)
	return local+others*spread <= localShare*float64(replica.MaxConnections)
}

// hashFraction maps words to a number from 0 to below 1, which is the same on every node.
func hashFraction(words ...string) float64 {
	digest := xxhash.New()
	for _, word := range words {
		_, _ = digest.WriteString(word) // hashing never fails
		_, _ = digest.Write(separator)
	}
	return float64(digest.Sum64()>>11) / (1 << 53)
}

var separator = []byte{0}
