package dispatch

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/snapshot"
	"github.com/micaplank/micaplank/internal/leaf"
)

// view is a snapshot with the replica groups of its shards.
type view struct {
	snapshot catalog.Snapshot
	groups   []replicaGroup
}

// group returns the replica group of a shard, or nil if no leaf holds the shard.
func (v *view) group(shard int) *replicaGroup {
	if shard >= len(v.groups) || len(v.groups[shard].leaves) == 0 {
		return nil
	}
	return &v.groups[shard]
}

// rebuildViews computes the views from the topology and binds all running queries to them.
func (d *Dispatcher) rebuildViews() {
	d.expireMissingHoldings()
	holdings := make([][]leaf.Holding, len(d.fleet.leaves))
	for index, l := range d.fleet.leaves {
		l.groups = nil
		if l.acceptsWork() {
			holdings[index] = l.availableHoldings()
		}
		l.waitingWork = perClass[time.Duration]{}
	}
	d.fleet.snapshots = snapshot.Build(d.fleet.topology.Partitions, holdings)
	d.fleet.views = make([]view, len(d.fleet.snapshots))
	for index := range d.fleet.views {
		d.fillView(&d.fleet.views[index], &d.fleet.snapshots[index])
	}
	d.waiting.queued = 0
	starting := d.queries.startsBlocked
	d.queries.startsBlocked = true // until all running queries are rebound
	for _, q := range slices.Clone(d.queries.running) {
		if q.started && !q.finished {
			d.rebindQuery(q)
		}
	}
	d.queries.startsBlocked = starting
	d.startPending()
}

// fillView sets the replica groups of a view.
func (d *Dispatcher) fillView(v *view, built *snapshot.View) {
	v.snapshot = built.Snapshot
	v.groups = make([]replicaGroup, len(built.Replicas))
	for shard, replicas := range built.Replicas {
		target := &v.groups[shard]
		target.shard = shard
		target.leaves = make([]*leafState, 0, len(replicas))
		for _, index := range replicas {
			l := d.fleet.leaves[index]
			if l.canary {
				target.canaries = append(target.canaries, l)
				continue
			}
			target.leaves = append(target.leaves, l)
			l.groups = append(l.groups, target)
		}
	}
}

// rebindQuery binds a running query to the current views. Shards that wait, or that no leaf could
// answer, are placed again.
func (d *Dispatcher) rebindQuery(q *query) {
	var pinned *view
	for index := range d.fleet.views {
		if d.fleet.views[index].snapshot == q.snapshot {
			pinned = &d.fleet.views[index]
		}
	}
	for position := range q.shards {
		shard := &q.shards[position]
		shard.group = nil
		if pinned != nil {
			shard.group = pinned.group(q.shardAt(position))
		}
		d.refreshTried(shard)
		if shard.status == shardUnavailable {
			q.progress.Unavailable--
			shard.status = shardWaiting
		}
		shard.waitTicket = 0
	}
	for position := range q.shards {
		if q.shards[position].due() {
			d.place(q, int32(position))
		}
	}
	d.advance(q)
}

// refreshTried sets the mask of the replicas that run an attempt of the shard.
func (d *Dispatcher) refreshTried(shard *shardState) {
	shard.triedReplicas = 0
	if shard.group == nil {
		return
	}
	for slot := shard.firstAttempt; slot != noAttempt; slot = d.attempts.slots[slot].next {
		shard.markTried(d.attempts.slots[slot].leaf)
	}
}
