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

// fleet is the topology with what is computed from it and known of its leaves.
type fleet struct {
	topology   Topology
	topologies uint64       // number of topologies so far
	leaves     []*leafState // those of the topology, in its order
	byAddress  map[netip.AddrPort]*leafState
	restarted  []*leafState    // those that the topology being taken in lists with a new boot ID
	views      []view          // newest first
	snapshots  []snapshot.View // of the views
	goneUntil  Time            // when the next override of a holding ends; zero if none
	down       int             // leaves that are down, see setDown
}

// SetTopology replaces the topology. A leaf that is not usable in it gets no
// new attempt from now on; its attempts in flight are left to finish.
func (d *Dispatcher) SetTopology(now Time, topology Topology) []Action {
	d.begin(now)
	changed := !slices.Equal(d.fleet.topology.Partitions, topology.Partitions)
	d.fleet.topology = topology
	d.fleet.topologies++
	former := d.fleet.leaves
	d.fleet.leaves = make([]*leafState, 0, len(topology.Leaves))
	for index := range topology.Leaves {
		listed := &topology.Leaves[index]
		l, known := d.fleet.byAddress[listed.Address]
		if !known {
			l = d.newLeaf(listed)
			d.fleet.byAddress[listed.Address] = l
		}
		if l.listedIn == d.fleet.topologies {
			continue // listed twice: the first entry counts
		}
		l.listedIn = d.fleet.topologies
		changed = d.update(l, listed) || changed
		d.fleet.leaves = append(d.fleet.leaves, l)
	}
	changed = d.dropUnlisted(former) || changed
	if changed {
		d.rebuild()
	}
	d.loseFormerAttempts()
	d.startPending()
	d.pumpAll()
	return d.actions
}

func (d *Dispatcher) newLeaf(listed *Leaf) *leafState {
	slots := slotsOf(listed)
	return &leafState{
		listing:   listing{address: listed.Address, slots: slots},
		limiter:   limit.New(&d.config.Limit, slots, listed.Cold),
		speed:     replica.NewSpeed(&d.config.Speed),
		probation: probation{lastSent: d.now},
		overdue:   overdueSum{at: unknown},
	}
}

// defaultSlots are assumed of a leaf that names none. Not measured: chosen as the fewest
// with which a leaf can work on two attempts at once.
const defaultSlots = 2

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
	if l.noteBoot(listed.BootID) {
		d.resetLeaf(l, listed.Cold)
		d.fleet.restarted = append(d.fleet.restarted, l)
	}
	same := slices.EqualFunc(l.holdings, listed.Holdings, equalHoldings)
	l.holdings = listed.Holdings
	return took != l.takesWork() || canary != l.canary || !same
}

func equalHoldings(a, b leaf.Holding) bool {
	return a.Snapshot == b.Snapshot && slices.Equal(a.Shards, b.Shards)
}

// resetLeaf forgets what was learned of a leaf before it restarted.
func (d *Dispatcher) resetLeaf(l *leafState, cold bool) {
	l.limiter.Restart(cold)
	l.speed = replica.NewSpeed(&d.config.Speed)
	l.losses = replica.Losses{}
	l.holdOff = holdOff{}
	d.setDown(l, false)
	l.gone = nil
}

// unlistedMemory is how long a leaf that left the topology is remembered, with what it
// said of draining. Not measured: chosen longer than a leaf takes to stop.
const unlistedMemory = 10 * time.Minute

// dropUnlisted gives no more work to the leaves that left the topology, and
// forgets them later. It reports whether one of them could get work before.
func (d *Dispatcher) dropUnlisted(former []*leafState) bool {
	dropped := false
	for _, l := range former {
		if l.listedIn != d.fleet.topologies {
			dropped = dropped || l.takesWork()
			l.usable = false
			l.groups = nil
			d.setDown(l, false)
			l.unlistedAt = d.now
		}
	}
	for address, l := range d.fleet.byAddress {
		if l.listedIn != d.fleet.topologies && d.now-l.unlistedAt > unlistedMemory {
			delete(d.fleet.byAddress, address)
		}
	}
	return dropped
}
