package dispatch

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/limit"
	"github.com/micaplank/micaplank/internal/decide/replica"
	"github.com/micaplank/micaplank/internal/decide/snapshot"
	"github.com/micaplank/micaplank/internal/leaf"
)

// view is one snapshot with the leaves that hold its shards.
type view struct {
	snapshot catalog.Snapshot
	groups   []group
}

// group returns the group of a shard, or nil if no leaf holds it.
func (v *view) group(shard int) *group {
	if shard >= len(v.groups) || len(v.groups[shard].leaves) == 0 {
		return nil
	}
	return &v.groups[shard]
}

// SetTopology replaces the topology. A leaf that is not usable in it gets no
// new attempt from now on; its attempts in flight are left to finish.
func (d *Dispatcher) SetTopology(now Time, topology Topology) []Action {
	d.begin(now)
	changed := !slices.Equal(d.topology.Partitions, topology.Partitions)
	d.topology = topology
	d.topologies++
	former := d.leaves
	d.leaves = make([]*leafState, 0, len(topology.Leaves))
	for index := range topology.Leaves {
		listed := &topology.Leaves[index]
		l, known := d.byAddress[listed.Address]
		if !known {
			l = d.newLeaf(listed)
			d.byAddress[listed.Address] = l
		}
		if l.listedIn == d.topologies {
			continue // listed twice: the first entry counts
		}
		l.listedIn = d.topologies
		changed = d.update(l, listed) || changed
		d.leaves = append(d.leaves, l)
	}
	changed = d.dropUnlisted(former) || changed
	if changed {
		d.rebuild()
	}
	d.loseFormer()
	d.startPending()
	d.pumpAll()
	return d.actions
}

func (d *Dispatcher) newLeaf(listed *Leaf) *leafState {
	slots := slotsOf(listed)
	return &leafState{
		address:   listed.Address,
		slots:     slots,
		limiter:   limit.New(&d.config.Limit, slots, listed.Cold),
		speed:     replica.NewSpeed(&d.config.Speed),
		lastSent:  d.now,
		overdueAt: unknown,
	}
}

func slotsOf(listed *Leaf) int {
	if listed.Slots > 0 {
		return listed.Slots
	}
	return defaultSlots
}

// update takes over what the topology says of a leaf and reports whether its
// holdings changed.
func (d *Dispatcher) update(l *leafState, listed *Leaf) bool {
	took := l.takesWork()
	canary := l.canary
	l.zone = listed.Zone
	l.near = listed.Zone == d.config.Zone
	l.usable = listed.Usable
	l.standby = listed.Standby
	l.canary = listed.Canary
	l.warmAt = listed.WarmAt
	l.warmup.set(d.now, listed.ColdUntil, listed.ColdRate)
	l.listedBoot = listed.BootID
	if slots := slotsOf(listed); slots != l.slots {
		l.slots = slots
		l.limiter.Resize(slots)
	}
	if l.sawBoot(listed.BootID) {
		d.restarted(l, listed.Cold)
		d.reborn = append(d.reborn, l)
	}
	same := slices.EqualFunc(l.holdings, listed.Holdings, equalHoldings)
	l.holdings = listed.Holdings
	return took != l.takesWork() || canary != l.canary || !same
}

func equalHoldings(a, b leaf.Holding) bool {
	return a.Snapshot == b.Snapshot && slices.Equal(a.Shards, b.Shards)
}

// restarted forgets what was learned of a leaf before it was started anew.
func (d *Dispatcher) restarted(l *leafState, cold bool) {
	l.limiter.Restart(cold)
	l.speed = replica.NewSpeed(&d.config.Speed)
	l.failures = 0
	l.losses = replica.Losses{}
	l.heldUntil = 0
	l.gone = nil
}

// unlistedMemory is how long a leaf that left the topology is remembered, with
// its word that it drains.
const unlistedMemory = 10 * time.Minute

// dropUnlisted gives no more work to the leaves that left the topology, and
// forgets them later. It reports whether one of them could get work before.
func (d *Dispatcher) dropUnlisted(former []*leafState) bool {
	dropped := false
	for _, l := range former {
		if l.listedIn != d.topologies {
			dropped = dropped || l.takesWork()
			l.usable = false
			l.groups = nil
			l.unlistedAt = d.now
		}
	}
	for address, l := range d.byAddress {
		if l.listedIn != d.topologies && d.now-l.unlistedAt > unlistedMemory {
			delete(d.byAddress, address)
		}
	}
	return dropped
}

// forget overrides the topology: the leaf does not hold what it refused.
func (d *Dispatcher) forget(l *leafState, gone goneHolding) {
	if l.lacks(gone.snapshot, gone.shard) {
		return
	}
	gone.until = d.now + d.config.Backoff.SnapshotGone
	l.gone = append(l.gone, gone)
	d.rebuild()
}

// rebuild computes the views anew and moves all queries over to them.
func (d *Dispatcher) rebuild() {
	d.dropExpired()
	holdings := make([][]leaf.Holding, len(d.leaves))
	for index, l := range d.leaves {
		l.groups = nil
		if l.takesWork() {
			holdings[index] = l.offered()
		}
		l.waiting = perClass[time.Duration]{}
	}
	d.snapshots = snapshot.Build(d.topology.Partitions, holdings)
	d.views = make([]view, len(d.snapshots))
	for index := range d.views {
		d.fillView(&d.views[index], &d.snapshots[index])
	}
	d.waiters = 0
	starting := d.starting
	d.starting = true // postponed queries wait until all others have moved
	for _, q := range slices.Clone(d.running) {
		if q.started && !q.finished {
			d.move(q)
		}
	}
	d.starting = starting
	d.startPending()
}

func (d *Dispatcher) dropExpired() {
	d.goneUntil = 0
	for _, l := range d.leaves {
		l.gone = slices.DeleteFunc(l.gone, func(g goneHolding) bool { return g.until <= d.now })
		for _, gone := range l.gone {
			if d.goneUntil == 0 || gone.until < d.goneUntil {
				d.goneUntil = gone.until
			}
		}
	}
}

func (d *Dispatcher) fillView(v *view, built *snapshot.View) {
	v.snapshot = built.Snapshot
	v.groups = make([]group, len(built.Replicas))
	for shard, replicas := range built.Replicas {
		target := &v.groups[shard]
		target.shard = shard
		target.leaves = make([]*leafState, 0, len(replicas))
		for _, index := range replicas {
			l := d.leaves[index]
			if l.canary {
				target.canaries = append(target.canaries, l)
				continue
			}
			target.leaves = append(target.leaves, l)
			l.groups = append(l.groups, target)
		}
	}
}

// move hands a running query over to the new views. Shards that wait, or that
// no leaf could answer, are placed anew.
func (d *Dispatcher) move(q *query) {
	var pinned *view
	for index := range d.views {
		if d.views[index].snapshot == q.snapshot {
			pinned = &d.views[index]
		}
	}
	for position := range q.shards {
		shard := &q.shards[position]
		shard.group = nil
		if pinned != nil {
			shard.group = pinned.group(q.shardAt(position))
		}
		d.markTried(shard)
		if shard.status == shardUnavailable {
			q.progress.Unavailable--
			shard.status = shardWaiting
		}
		shard.waitFor = 0
	}
	for position := range q.shards {
		if q.shards[position].due() {
			d.place(q, int32(position))
		}
	}
	d.review(q)
}

// markTried sets the mask of the replicas that run an attempt of the shard.
func (d *Dispatcher) markTried(shard *shardState) {
	shard.tried = 0
	if shard.group == nil {
		return
	}
	for slot := shard.first; slot != none; slot = d.attempts.slots[slot].next {
		shard.try(d.attempts.slots[slot].leaf)
	}
}
