// Package startup decides from whom a node that starts reads what the store holds, and
// when a node may serve. It is pure.
//
// The rule for reading: a node of a small fleet reads the store itself; of a large one
// those first by a hash of their names do, and all others copy one of them. Where no
// node is announced, or the store does not say, the seeds of the settings stand in.
//
// The rule for serving: a node is ready once it has a configuration and the leaves of a
// first reading, until it drains.
//
// Inputs: the announced nodes, this node's address and the seeds' addresses.
//
// Reason: what a node reads with a large configuration is 600 KB; 295 that read it at
// once take the store's link for longer than the timeout of a call, begin again and fill
// it again. After a loss of all power with 1,848 new routes more than half of the
// requests were refused until the end of that day, at 10,911 calls; with copies that
// fleet earned 0.555 in place of 0.126.
//
// It owns nothing. Package mirror carries a Plan out.
package startup

import (
	"net/netip"
	"slices"

	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// minNodesForSources is the number of nodes from which a node that starts copies
	// another one. Fewer can read the store all at once: a hundred ranges of 150 KB
	// take the link of a store, of 1 Gbit/s, for 0.12 s, and nodes that others wait
	// for may start 0.4 s later than those. From 50 on, 76 nodes earned 0.589 and 0.616
	// in place of 0.629 and 0.630 on a day with a power-off.
	minNodesForSources = 100
	// nodesPerSource is how many copies a source hands out at the start of a whole
	// fleet. Not measured: 25 copies are about 1.25 MB.
	nodesPerSource = 25
)

// Plan says how a node starts.
type Plan struct {
	// Source is set if other nodes ask this one when they start. Such a node reads
	// the store itself, or the sources would wait for each other.
	Source bool
	// Direct is set if each node reads the store itself, since there are few.
	ReadsDirectly bool
	// Others are the nodes that are asked for their copy, in the order in which they
	// are asked. A node that reads the store asks them only if the store does not answer.
	Others []netip.AddrPort
}

// ReadsStore reports whether the node reads the store itself. Else it copies one of Others.
func (p Plan) ReadsStore() bool { return p.Source || p.ReadsDirectly || len(p.Others) == 0 }

// Shuffle orders count elements by chance, as rand.Shuffle does.
type Shuffle func(count int, swap func(i, j int))

// NewPlan returns the plan of the node at an address, by the nodes that are announced.
// It asks its sources in an order of its own.
func NewPlan(self netip.AddrPort, announced []roster.Member, seeds []netip.AddrPort, shuffle Shuffle) Plan {
	switch {
	case len(announced) == 0:
		return planFromSources(self, seeds, shuffle)
	case len(announced) < minNodesForSources:
		return Plan{ReadsDirectly: true, Others: planFromSources(self, seeds, shuffle).Others}
	}
	var sources []netip.AddrPort
	for _, member := range roster.Spread(announced, len(announced)/nodesPerSource, seeds...) {
		sources = append(sources, member.Peer)
	}
	return planFromSources(self, sources, shuffle)
}

// planOf plans a start with the nodes at some addresses as sources.
func planFromSources(self netip.AddrPort, sources []netip.AddrPort, shuffle Shuffle) Plan {
	others := slices.DeleteFunc(slices.Clone(sources), func(address netip.AddrPort) bool { return address == self })
	shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return Plan{Source: len(others) < len(sources), Others: others}
}

// State is what a node has of what it needs to serve.
type State struct {
	// Configured says that a configuration is in force.
	Configured bool
	// LeavesKnown says that the leaves of a first reading may get requests. They are
	// known before the configuration that may name them comes into force: else its
	// requests would be refused for want of leaves.
	LeavesKnown bool
	// Draining says that the node stops as planned.
	Draining bool
}

// Ready reports whether the node takes requests.
func (s State) Ready() bool { return s.Configured && s.LeavesKnown && !s.Draining }
