// Package startup decides from where a starting node reads the contents of the store, and when a
// node may serve. It is pure.
//
// Rule for reading: a node of a small fleet reads the store itself. In a large fleet, the nodes
// first by a hash of their names read the store, and all others copy from one of them. If no node
// is announced, or the store does not answer, the seeds of the settings take the place of these
// nodes.
//
// Rule for serving: a node is ready once it has a configuration and the leaves of a first read,
// until it drains.
//
// Inputs: the announced nodes, this node's address and the seeds' addresses.
//
// Reason: with a large configuration, a node reads 600 KB. If 295 nodes read it at once, they
// saturate the store's link for longer than the timeout of a call, and their retries saturate it
// again. A fleet in that state refuses more than half of its requests.
//
// Package mirror carries out a Plan.
package startup

import (
	"net/netip"
	"slices"

	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// minNodesForSources is the number of nodes from which a starting node copies from another
	// one. Fewer nodes can read the store at once: 100 reads of 150 KB take 0.12 s on a link of
	// 1 Gbit/s, while copying may delay a start by 0.4 s. With 50, a fleet of 76 nodes performs
	// worse after a power loss.
	minNodesForSources = 100
	// nodesPerSource is how many copies a source serves when a whole fleet starts. 25 copies are
	// about 1.25 MB.
	nodesPerSource = 25
)

// Plan describes how a node starts.
type Plan struct {
	// IsSource is set if other nodes copy from this one when they start. A source reads the store
	// itself, since sources would otherwise wait for each other.
	IsSource bool
	// ReadsDirectly is set if each node reads the store itself because there are few nodes.
	ReadsDirectly bool
	// Sources are the nodes that are asked for a copy, in this order. A node that reads the store
	// asks them only if the store does not answer.
	Sources []netip.AddrPort
}

// ReadsStore reports whether the node reads the store itself. Otherwise it copies from one of
// Sources.
func (p Plan) ReadsStore() bool { return p.IsSource || p.ReadsDirectly || len(p.Sources) == 0 }

// Shuffle orders count elements at random, like rand.Shuffle.
type Shuffle func(count int, swap func(i, j int))

// NewPlan returns the plan of the node at the address self, given the announced nodes. It shuffles
// the sources, so that starting nodes spread over them.
func NewPlan(self netip.AddrPort, announced []roster.Member, seeds []netip.AddrPort, shuffle Shuffle) Plan {
	switch {
	case len(announced) == 0:
		return planFromSources(self, seeds, shuffle)
	case len(announced) < minNodesForSources:
		return Plan{ReadsDirectly: true, Sources: planFromSources(self, seeds, shuffle).Sources}
	}
	var sources []netip.AddrPort
	for _, member := range roster.SelectAcrossZones(announced, len(announced)/nodesPerSource, seeds...) {
		sources = append(sources, member.Peer)
	}
	return planFromSources(self, sources, shuffle)
}

// planFromSources returns a plan with the nodes at the given addresses as sources.
func planFromSources(self netip.AddrPort, sources []netip.AddrPort, shuffle Shuffle) Plan {
	others := slices.DeleteFunc(slices.Clone(sources), func(address netip.AddrPort) bool { return address == self })
	shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return Plan{IsSource: len(others) < len(sources), Sources: others}
}

// State holds the conditions for serving.
type State struct {
	// Configured is set if a configuration is in force.
	Configured bool
	// LeavesKnown is set if the leaves of a first read may get requests. The leaves have to be
	// known before a configuration that names them is in force; otherwise its requests would be
	// refused for lack of leaves.
	LeavesKnown bool
	// Draining is set while the node shuts down gracefully.
	Draining bool
}

// Ready reports whether the node accepts requests.
func (s State) Ready() bool { return s.Configured && s.LeavesKnown && !s.Draining }
