package dispatch

import (
	"slices"

	"github.com/micaplank/micaplank/internal/decide/coverage"
	"github.com/micaplank/micaplank/internal/decide/snapshot"
)

func (q *query) need() snapshot.Need {
	return snapshot.Need{KeyHash: q.KeyHash, HasKey: q.HasKey, Shards: q.Shards}
}

// pin fixes the snapshot of a query and the shards that it needs there.
func (d *Dispatcher) pin(q *query) Reason {
	index, found := snapshot.Pick(d.snapshots, q.need())
	if !found {
		if len(d.views) == 0 {
			return ReasonNoSnapshot
		}
		return ReasonNoLeaf
	}
	d.pinTo(q, &d.views[index])
	return ReasonNone
}

func (d *Dispatcher) pinTo(q *query, pinned *view) {
	q.snapshot = pinned.snapshot
	q.firstShard = 0
	count := len(pinned.groups)
	if shard, single := q.need().Shard(count); single {
		q.firstShard, count = shard, 1
	}
	if len(q.Shards) > 0 {
		count = len(q.Shards)
	}
	q.shards = d.newShards(count)
	for position := range q.shards {
		q.shards[position].group = pinned.group(q.shardAt(position))
		q.shards[position].first = none
	}
	d.actions = slices.Grow(d.actions, count)
	q.progress = coverage.Progress{Total: count}
}

// newShards returns count zero shards, if possible from a finished query.
func (d *Dispatcher) newShards(count int) []shardState {
	last := len(d.spareShards) - 1
	if last < 0 || cap(d.spareShards[last]) < count {
		return make([]shardState, count)
	}
	shards := d.spareShards[last][:count]
	d.spareShards = d.spareShards[:last]
	clear(shards)
	return shards
}

// spareLimit is how many lists of shards are kept for newShards.
const spareLimit = 16

// releaseShards keeps the shards of a finished query for newShards. Nothing
// looks at the shards of a finished query.
func (d *Dispatcher) releaseShards(q *query) {
	if len(d.spareShards) < spareLimit && q.shards != nil {
		d.spareShards = append(d.spareShards, q.shards)
	}
	q.shards = nil
}
