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

// pin fixes the snapshot of a query and the shards that it needs there.
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

// pinTo fixes the snapshot, and starts with none of its shards sent.
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
	q.shards = d.shardPool.get(count)
	for position := range q.shards {
		q.shards[position].group = pinned.group(q.shardAt(position))
		q.shards[position].firstAttempt = noAttempt
	}
	d.actions = slices.Grow(d.actions, count)
	q.progress = coverage.Progress{Total: count}
}

// shardPool keeps the lists of shards of finished queries.
type shardPool [][]shardState

// shardPoolLimit is how many lists are kept. Not measured: chosen to bound the memory.
const shardPoolLimit = 16

// take returns count zero shards, if possible from a finished query.
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

// give keeps the shards of a finished query. Nothing looks at them any more.
func (p *shardPool) put(shards []shardState) {
	if len(*p) < shardPoolLimit && shards != nil {
		*p = append(*p, shards)
	}
}
