package simulation

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// leafState is whether a leaf's machine answers.
type leafLiveness uint8

const (
	leafUp leafLiveness = iota
	leafCrashed
	leafSilent
)

// emulatedLeaf is one leaf: slots, a queue in order of arrival, and faults.
type emulatedLeaf struct {
	sim      *simulator
	index    int
	address  netip.AddrPort
	zone     string
	slots    int
	liveness leafLiveness
	boot     int
	// bootName is the id of the boot namedBoot.
	cachedBootID string
	cachedBoot   int
	draining     bool
	// coldUntil ends the time in which work is refused, warmAt the time in
	// which it is slow.
	coldUntil, warmAt Time
	slowFactor        float64
	pausedUntil       Time
	reportsIdle       bool
	staleReplyRatio   float64
	updated           []leaf.Holding
	connections       int
	running           []*work
	queue             []*work
	publishedLoad     leaf.LoadSummary
	// leavingSince is when the first source reported that this boot leaves.
	leavingSince Time
	leaving      bool
	// added counts how often an operator added the leaf again.
	readdCount int
	// received counts the attempts that arrived, executed those that ran.
	received, executed int
	busyTime           time.Duration // time of its slots at work
}

func (l *emulatedLeaf) bootID() string {
	if l.cachedBoot != l.boot {
		l.cachedBoot = l.boot
		l.cachedBootID = fmt.Sprintf("%d-%d", l.index, l.boot)
	}
	return l.cachedBootID
}

// summary is the leaf's true load, or its lie.
func (l *emulatedLeaf) loadSummary() leaf.LoadSummary {
	summary := leaf.LoadSummary{State: leaf.StateServing, SlotsBusy: len(l.running), Slots: l.slots, Queue: len(l.queue)}
	if l.reportsIdle {
		summary.SlotsBusy, summary.Queue = 0, 0
	}
	switch {
	case l.draining:
		summary.State = leaf.StateDraining
	case l.sim.engine.now < l.coldUntil:
		summary.State = leaf.StateCold
	}
	return summary
}

// report is what a poll of the load gets: the state of a while ago.
func (l *emulatedLeaf) loadReport() leaf.LoadReport {
	return leaf.LoadReport{
		BootID: l.bootID(), LoadSummary: l.publishedLoad,
		Service: l.sim.config.Service.Name, Holdings: slices.Clone(l.updated),
	}
}

// holds reports whether the leaf has a shard at a snapshot, and whether it
// has the partition epoch at all.
func (l *emulatedLeaf) holds(snapshot catalog.Snapshot, shard int) (held, epochHeld bool) {
	for _, holding := range l.updated {
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
