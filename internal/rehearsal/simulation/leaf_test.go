package simulation

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// leafLiveness is the state of a leaf: whether it is up, its process has crashed or its machine
// does not respond.
type leafLiveness uint8

const (
	leafUp leafLiveness = iota
	leafCrashed
	leafSilent
)

// emulatedLeaf emulates a leaf with slots, a FIFO queue and injected faults.
type emulatedLeaf struct {
	simulator *simulator
	index     int
	address   netip.AddrPort
	zone      string
	slots     int
	liveness  leafLiveness
	boot      int
	// cachedBootID is the boot id that belongs to cachedBoot.
	cachedBootID string
	cachedBoot   int
	draining     bool
	// coldUntil is when the leaf stops refusing work as cold, warmAt when its work stops being
	// slowed down by the cold start.
	coldUntil, warmAt Time
	slowFactor        float64
	pausedUntil       Time
	reportsIdle       bool
	staleReplyRatio   float64
	holdings          []leaf.Holding
	connections       int
	running           []*work
	queue             []*work
	publishedLoad     leaf.LoadSummary
	// leavingSince is when the first source reported that this boot is leaving.
	leavingSince Time
	leaving      bool
	// readdCount is how often an operator added the leaf again.
	readdCount int
	// received is the number of attempts that arrived, executed the number that were started.
	received, executed int
	busyTime           time.Duration // total time during which its slots were in use
}

func (l *emulatedLeaf) bootID() string {
	if l.cachedBoot != l.boot {
		l.cachedBoot = l.boot
		l.cachedBootID = fmt.Sprintf("%d-%d", l.index, l.boot)
	}
	return l.cachedBootID
}

// loadSummary returns the load of the leaf. A leaf with reportsIdle hides its busy slots and
// queue.
func (l *emulatedLeaf) loadSummary() leaf.LoadSummary {
	summary := leaf.LoadSummary{State: leaf.StateServing, SlotsBusy: len(l.running), Slots: l.slots, Queue: len(l.queue)}
	if l.reportsIdle {
		summary.SlotsBusy, summary.Queue = 0, 0
	}
	switch {
	case l.draining:
		summary.State = leaf.StateDraining
	case l.simulator.engine.now < l.coldUntil:
		summary.State = leaf.StateCold
	}
	return summary
}

// loadReport returns the reply to a load poll. Its summary is the one published last, which may be
// up to ReportLag old.
func (l *emulatedLeaf) loadReport() leaf.LoadReport {
	return leaf.LoadReport{
		BootID: l.bootID(), LoadSummary: l.publishedLoad,
		Service: l.simulator.config.Service.Name, Holdings: slices.Clone(l.holdings),
	}
}

// holds reports whether the leaf has a shard at a snapshot, and whether it has the shard at any
// snapshot of the same partition epoch.
func (l *emulatedLeaf) holds(snapshot catalog.Snapshot, shard int) (held, epochHeld bool) {
	for _, holding := range l.holdings {
		if holding.Snapshot.Epoch != snapshot.Epoch || !slices.Contains(holding.Shards, shard) {
			continue
		}
		epochHeld = true
		if holding.Snapshot == snapshot {
			return true, true
		}
	}
	return false, epochHeld
}
