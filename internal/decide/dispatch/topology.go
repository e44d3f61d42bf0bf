package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/limit"
	"github.com/micaplank/micaplank/internal/decide/replica"
	"github.com/micaplank/micaplank/internal/decide/snapshot"
	"github.com/micaplank/micaplank/internal/leaf"
)

// fleet is the current topology, the data derived from it and the state of its leaves.
type fleet struct {
	topology     Topology
	generation   uint64       // number of topologies so far
	leaves       []*leafState // those of the topology, in its order
	byAddress    map[netip.AddrPort]*leafState
	restarted    []*leafState    // those that the topology being applied lists with a new boot ID
	views        []view          // newest first
	snapshots    []snapshot.View // of the views
	missingUntil Time            // when the next missingHolding expires; zero if there is none
	downCount    int             // leaves that are down, see setDown
}

// SetTopology replaces the topology. A leaf that is not usable in it gets no new attempt from now
// on; its attempts in flight continue.
func (d *Dispatcher) SetTopology(now Time, topology Topology) []Action {
	d.begin(now)
	changed := !slices.Equal(d.fleet.topology.Partitions, topology.Partitions)
	d.fleet.topology = topology
	d.fleet.generation++
	previous := d.fleet.leaves
	d.fleet.leaves = make([]*leafState, 0, len(topology.Leaves))
	for index := range topology.Leaves {
		listed := &topology.Leaves[index]
		l, ok := d.fleet.byAddress[listed.Address]
		if !ok {
			l = d.newLeaf(listed)
			d.fleet.byAddress[listed.Address] = l
		}
		if l.listedGeneration == d.fleet.generation {
			continue // a duplicate; the first entry counts
		}
		l.listedGeneration = d.fleet.generation
		changed = d.applyListing(l, listed) || changed
		d.fleet.leaves = append(d.fleet.leaves, l)
	}
	changed = d.retireUnlisted(previous) || changed
	if changed {
		d.rebuildViews()
	}
	d.failOrphanedAttempts()
	d.startPending()
	d.dispatchAllWaiting()
	return d.actions
}

// newLeaf returns the initial state of a leaf.
func (d *Dispatcher) newLeaf(listed *Leaf) *leafState {
	slots := listedSlots(listed)
	return &leafState{
		listing:   listing{address: listed.Address, slots: slots},
		limiter:   limit.New(&d.config.Limit, slots, listed.Cold),
		speed:     replica.NewSlownessEstimator(&d.config.Speed),
		probation: probation{lastSent: d.now},
		overdue:   overdueSum{at: noTime},
	}
}

// defaultSlots is the number of slots assumed of a leaf that names none: the smallest number with
// which a leaf works on two attempts at the same time.
const defaultSlots = 2

// listedSlots returns the slots of a leaf in the topology, or the default.
func listedSlots(listed *Leaf) int {
	if listed.Slots > 0 {
		return listed.Slots
	}
	return defaultSlots
}

// applyListing copies the topology entry of a leaf to its state and reports whether the views have
// to be rebuilt because of it.
func (d *Dispatcher) applyListing(l *leafState, listed *Leaf) bool {
	accepted := l.acceptsWork()
	canary := l.canary
	l.zone = listed.Zone
	l.sameZone = listed.Zone == d.config.Zone
	l.usable = listed.Usable
	l.standby = listed.Standby
	l.canary = listed.Canary
	l.warmAt = listed.WarmAt
	l.warmup.set(d.now, listed.ColdUntil, listed.ColdRate)
	l.listedBoot = listed.BootID
	if slots := listedSlots(listed); slots != l.slots {
		l.slots = slots
		l.limiter.SetSlots(slots)
	}
	if l.recordBoot(listed.BootID) {
		d.resetLeaf(l, listed.Cold)
		d.fleet.restarted = append(d.fleet.restarted, l)
	}
	same := slices.EqualFunc(l.holdings, listed.Holdings, equalHoldings)
	l.holdings = listed.Holdings
	return accepted != l.acceptsWork() || canary != l.canary || !same
}

func equalHoldings(a, b leaf.Holding) bool {
	return a.Snapshot == b.Snapshot && slices.Equal(a.Shards, b.Shards)
}

// resetLeaf discards the state that belongs to the previous incarnation of a leaf.
func (d *Dispatcher) resetLeaf(l *leafState, cold bool) {
	l.limiter.Reset(cold)
	l.speed = replica.NewSlownessEstimator(&d.config.Speed)
	l.losses = replica.LossEstimator{}
	l.backoff = backoff{}
	d.setDown(l, false)
	l.missing = nil
}

// unlistedRetention is the time for which the state of a leaf that left the topology is kept,
// including whether it drains. It is longer than a leaf takes to stop.
const unlistedRetention = 10 * time.Minute

// retireUnlisted stops sending work to the leaves that left the topology, and deletes their state
// after unlistedRetention. It reports whether one of them accepted work before.
func (d *Dispatcher) retireUnlisted(previous []*leafState) bool {
	dropped := false
	for _, l := range previous {
		if l.listedGeneration != d.fleet.generation {
			dropped = dropped || l.acceptsWork()
			l.usable = false
			l.groups = nil
			d.setDown(l, false)
			l.unlistedAt = d.now
		}
	}
	for address, l := range d.fleet.byAddress {
		if l.listedGeneration != d.fleet.generation && d.now-l.unlistedAt > unlistedRetention {
			delete(d.fleet.byAddress, address)
		}
	}
	return dropped
}
