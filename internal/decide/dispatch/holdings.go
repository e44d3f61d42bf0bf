package dispatch

import (
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// missingHolding overrides the topology until a time: the leaf refused the snapshot, or a shard of
// it, because it does not hold it.
type missingHolding struct {
	snapshot catalog.Snapshot
	shard    int // allShards if the whole snapshot is missing
	until    Time
}

// allShards is the shard number that stands for all shards of a snapshot.
const allShards = -1

// availableHoldings returns the listed holdings without those that the leaf refused.
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

// lacks reports whether the leaf refused the shard because it does not hold it.
func (l *leafState) lacks(snapshot catalog.Snapshot, shard int) bool {
	return slices.ContainsFunc(l.missing, func(missing missingHolding) bool {
		return missing.snapshot == snapshot && (missing.shard == allShards || missing.shard == shard)
	})
}

// markMissing records that the leaf does not hold a snapshot or shard that the topology lists.
func (d *Dispatcher) markMissing(l *leafState, missing missingHolding) {
	if l.lacks(missing.snapshot, missing.shard) {
		return
	}
	missing.until = d.now + d.config.Backoff.MissingHoldingTTL
	l.missing = append(l.missing, missing)
	d.rebuildViews()
}

// expireMissingHoldings drops the expired overrides and finds the time of the next expiry.
func (d *Dispatcher) expireMissingHoldings() {
	d.fleet.missingUntil = 0
	for _, l := range d.fleet.leaves {
		l.missing = slices.DeleteFunc(l.missing, func(g missingHolding) bool { return g.until <= d.now })
		for _, missing := range l.missing {
			if d.fleet.missingUntil == 0 || missing.until < d.fleet.missingUntil {
				d.fleet.missingUntil = missing.until
			}
		}
	}
}
