package dispatch

import (
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// goneHolding overrides the topology until a time: the leaf said that it does
// not hold the snapshot, or one shard of it.
type goneHolding struct {
	snapshot catalog.Snapshot
	shard    int // allShards if the whole snapshot is gone
	until    Time
}

const allShards = -1

// offered returns the holdings without those that the leaf said to be gone.
func (l *leafState) offered() []leaf.Holding {
	if len(l.gone) == 0 {
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
	return slices.ContainsFunc(l.gone, func(gone goneHolding) bool {
		return gone.snapshot == snapshot && (gone.shard == allShards || gone.shard == shard)
	})
}

// markGone overrides the topology: the leaf does not hold what it refused.
func (d *Dispatcher) markGone(l *leafState, gone goneHolding) {
	if l.lacks(gone.snapshot, gone.shard) {
		return
	}
	gone.until = d.now + d.config.Backoff.SnapshotGone
	l.gone = append(l.gone, gone)
	d.rebuild()
}

func (d *Dispatcher) dropExpired() {
	d.fleet.goneUntil = 0
	for _, l := range d.fleet.leaves {
		l.gone = slices.DeleteFunc(l.gone, func(g goneHolding) bool { return g.until <= d.now })
		for _, gone := range l.gone {
			if d.fleet.goneUntil == 0 || gone.until < d.fleet.goneUntil {
				d.fleet.goneUntil = gone.until
			}
		}
	}
}
