package dispatch

import (
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// goneHolding overrides the topology until a time: the leaf said that it does
// not hold the snapshot, or one shard of it.
type missingHolding struct {
	snapshot catalog.Snapshot
	shard    int // allShards if the whole snapshot is gone
	until    Time
}

const allShards = -1

// offered returns the holdings without those that the leaf said to be gone.
func (l *leafState) availableHoldings() []leaf.Holding {
	if len(l.missing) == 0 {
		return l.holdings
	}
	offered := make([]leaf.Holding, 0, len(l.holdings))
	for _, holding := range l.holdings {
		shards := make([]int, 0, len(holding.Shards))
		for _, shard := range holding.Shards {
			if !l.lacks(holding.Snapshot, shard) {
				shards = append(shards, shard)
			}
		}
		if len(shards) > 0 {
			offered = append(offered, leaf.Holding{Snapshot: holding.Snapshot, Shards: shards})
		}
	}
	return offered
}

// lacks reports whether the leaf said that the shard is gone.
func (l *leafState) lacks(snapshot catalog.Snapshot, shard int) bool {
	return slices.ContainsFunc(l.missing, func(gone missingHolding) bool {
		return gone.snapshot == snapshot && (gone.shard == allShards || gone.shard == shard)
	})
}

// markGone overrides the topology: the leaf does not hold what it refused.
func (d *Dispatcher) markMissing(l *leafState, gone missingHolding) {
	if l.lacks(gone.snapshot, gone.shard) {
		return
	}
	gone.until = d.now + d.config.Backoff.MissingHoldingTTL
	l.missing = append(l.missing, gone)
	d.rebuildViews()
}

func (d *Dispatcher) expireMissingHoldings() {
	d.fleet.missingUntil = 0
	for _, l := range d.fleet.leaves {
		l.missing = slices.DeleteFunc(l.missing, func(g missingHolding) bool { return g.until <= d.now })
		for _, gone := range l.missing {
			if d.fleet.missingUntil == 0 || gone.until < d.fleet.missingUntil {
				d.fleet.missingUntil = gone.until
			}
		}
	}
}
