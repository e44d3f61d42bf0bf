package dispatch

import (
	"slices"

	"github.com/micaplank/micaplank/internal/decide/coverage"
	"github.com/micaplank/micaplank/internal/decide/snapshot"
)

// need returns the shards that the query needs.
func (q *query) need() snapshot.Need {
	return snapshot.Need{KeyHash: q.KeyHash, HasKey: q.HasKey, Shards: q.Shards}
}

// pin selects the snapshot of a query and the shards that the query needs there.
func (d *Dispatcher) pin(q *query) Reason {
	index, ok := snapshot.Pick(d.fleet.snapshots, q.need())
	if !ok {
		if len(d.fleet.views) == 0 {
			return ReasonNoSnapshot
		}
		return ReasonNoLeaf
	}
	d.pinTo(q, &d.fleet.views[index])
	return ReasonNone
}

// pinTo sets the snapshot of a query and resets the state of its shards.
func (d *Dispatcher) pinTo(q *query, pinned *view) {
	q.snapshot = pinned.snapshot
	q.firstShard = 0
	count := len(pinned.groups)
	if shard, single := q.need().SingleShard(count); single {
		q.firstShard, count = shard, 1
	}
	if len(q.Shards) > 0 {
		count = len(q.Shards)
	}
	q.shards = d.shardPool.get(count)
	for position := range q.shards {
		q.shards[position].group = pinned.group(q.shardAt(position))
		q.shards[position].firstAttempt = noAttempt
	}
	d.actions = slices.Grow(d.actions, count)
	q.progress = coverage.Progress{Total: count}
}

// shardPool keeps the shard slices of finished queries for reuse.
type shardPool [][]shardState

// shardPoolLimit is the maximum number of slices kept. It bounds the memory.
const shardPoolLimit = 16

// get returns a slice of count zero shards, reusing a slice of a finished query if it is large
// enough.
func (p *shardPool) get(count int) []shardState {
	lists := *p
	last := len(lists) - 1
	if last < 0 || cap(lists[last]) < count {
		return make([]shardState, count)
	}
	shards := lists[last][:count]
	*p = lists[:last]
	clear(shards)
	return shards
}

// put returns the shards of a finished query to the pool. The caller must not use them afterwards.
func (p *shardPool) put(shards []shardState) {
	if len(*p) < shardPoolLimit && shards != nil {
		*p = append(*p, shards)
	}
}
