package scatter

import (
	"net/netip"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/snapshot"
	"github.com/micaplank/micaplank/internal/leaf"
)

// SetTopology hands the dispatcher a new view of the leaves.
func (c *Conn[Q, P]) SetTopology(topology dispatch.Topology) {
	c.applyDecision(func(now dispatch.Time) []dispatch.Action {
		c.topology = topology
		c.usable = usableLeaves(topology)
		return c.dispatcher.SetTopology(now, topology)
	})
}

func usableLeaves(topology dispatch.Topology) map[netip.AddrPort]bool {
	usable := make(map[netip.AddrPort]bool, len(topology.Leaves))
	for _, candidate := range topology.Leaves {
		usable[candidate.Address] = candidate.Usable
	}
	return usable
}

// MayGetWork reports whether a leaf is usable now: the guard may have brought
// in a newer topology than the one that a send was decided on.
func (c *Conn[Q, P]) MayGetWork(address netip.AddrPort) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.usable[address]
}

// Snapshot returns the snapshot that a query of every shard would be pinned to
// now; zero if none is known.
func (c *Conn[Q, P]) Snapshot() catalog.Snapshot {
	c.mutex.Lock()
	topology := c.topology
	c.mutex.Unlock()
	holdings := make([][]leaf.Holding, len(topology.Leaves))
	for i, candidate := range topology.Leaves {
		if candidate.Usable {
			holdings[i] = candidate.Holdings
		}
	}
	views := snapshot.Build(topology.Partitions, holdings)
	newest, known := snapshot.Pick(views, snapshot.Need{})
	if !known {
		return catalog.Snapshot{}
	}
	return views[newest].Snapshot
}
