package scatter

import (
	"net/netip"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/snapshot"
	"github.com/micaplank/micaplank/internal/leaf"
)

// SetTopology installs a new topology in the QueryRunner and in its dispatcher.
func (c *QueryRunner[Q, P]) SetTopology(topology dispatch.Topology) {
	c.applyDecision(func(now dispatch.Time) []dispatch.Action {
		c.topology = topology
		c.usable = usableLeaves(topology)
		c.withdrawUnusable()
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

// IsUsable reports whether a leaf is usable in the current topology, which may be newer than the
// one on which the dispatcher decided a send.
func (c *QueryRunner[Q, P]) IsUsable(address netip.AddrPort) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.usable[address]
}

// Snapshot returns the snapshot to which a query over all shards would be pinned now. It is zero if
// no usable leaf holds one.
func (c *QueryRunner[Q, P]) Snapshot() catalog.Snapshot {
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
	index, ok := snapshot.Pick(views, snapshot.Need{})
	if !ok {
		return catalog.Snapshot{}
	}
	return views[index].Snapshot
}
