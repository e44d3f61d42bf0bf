package simulation

import (
	"maps"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// scheduleFaults puts the faults of the scenario on the schedule.
func (w *world) scheduleFaults() {
	for _, fault := range w.config.Scenario.Faults {
		w.engine.at(fault.At, func() { w.begin(fault) })
	}
}

// later undoes a fault after its duration, if it has one.
func (w *world) later(fault Fault, undo func()) {
	if fault.Duration > 0 {
		w.engine.after(fault.Duration, undo)
	}
}

func (w *world) begin(fault Fault) {
	l := w.leaves[fault.Leaf]
	switch fault.Kind {
	case FaultSlow:
		l.slow = fault.Factor
		w.later(fault, func() { l.slow = 1 })
	case FaultPause:
		l.pause(fault.Duration)
	case FaultCrash:
		w.stopLeaf(l, leafCrashed)
		w.later(fault, func() { w.restartLeaf(l) })
	case FaultLose:
		w.stopLeaf(l, leafSilent)
		w.later(fault, func() { w.restartLeaf(l) })
	case FaultLoseZone:
		w.loseZone(fault)
	case FaultDrain:
		l.draining = true
		w.noteLeaving(l)
		w.later(fault, func() { w.restartLeaf(l) })
	case FaultRetire:
		w.retire(l, true)
		w.later(fault, func() { w.retire(l, false) })
	case FaultListLeaving:
		w.listLeaving(l)
	case FaultLie:
		l.lying = true
		w.later(fault, func() { l.lying = false })
	case FaultStaleReply:
		l.staleShare = fault.Factor
		w.later(fault, func() { l.staleShare = 0 })
	case FaultRoll:
		w.roll(fault.Duration, fault.Factor)
	case FaultRepartition:
		w.repartition(fault.Shards, fault.Duration)
	case FaultFreezeNode:
		n := w.nodes[fault.Node]
		n.thawAt = max(n.thawAt, w.engine.now+fault.Duration)
	}
}

// stopLeaf ends a leaf without warning. Its connections are reset if only the
// process died; a silent machine shows after a timeout.
func (w *world) stopLeaf(l *emulatedLeaf, state leafState) {
	if l.up != leafUp {
		return
	}
	l.stop(state)
	after := time.Duration(0)
	if state == leafSilent {
		after = w.config.Deployment.Network.SilenceTimeout
	}
	w.network.breakLinks(l, after)
}

func (w *world) restartLeaf(l *emulatedLeaf) {
	if l.up == leafUp {
		l.stop(leafCrashed)
	}
	l.restart()
	w.network.breakLinks(l, 0)
}

// loseZone takes the leaves and the nodes of a zone away. The leaves come back
// if the fault has a duration; the nodes' queries are lost with them.
func (w *world) loseZone(fault Fault) {
	for _, l := range w.leaves {
		if l.zone == fault.Zone {
			w.stopLeaf(l, leafSilent)
			w.later(fault, func() { w.restartLeaf(l) })
		}
	}
	for _, n := range w.nodes {
		if n.zone != fault.Zone {
			continue
		}
		n.dead = true
		for _, q := range n.queries {
			q.lost = true
		}
	}
}

// noteLeaving remembers when the first source called the leaf leaving.
func (w *world) noteLeaving(l *emulatedLeaf) {
	if !l.leaving {
		l.leaving = true
		l.leavingSince = w.engine.now
	}
}

// retire changes the catalog by an operator's command; nodes receive it within
// the lag of commands.
func (w *world) retire(l *emulatedLeaf, retiring bool) {
	w.changeCatalog(func(service *catalog.Service, revision uint64) {
		changed := service.Leaves[l.address]
		changed.Retiring = retiring
		if !retiring {
			changed.AddedAt = revision
		}
		service.Leaves[l.address] = changed
	})
	if retiring {
		w.noteLeaving(l)
	} else {
		l.leaving = false
		l.added++
	}
}

// listLeaving lets the machine list call a leaf leaving, for good. An operator
// who adds the leaf again while the list lags overrides it.
func (w *world) listLeaving(l *emulatedLeaf) {
	boot, added := l.bootID(), l.added
	w.engine.after(w.config.Deployment.Leaf.MachineListLag, func() {
		if l.bootID() == boot && l.added == added {
			w.noteLeaving(l)
		}
		for _, n := range w.nodes {
			n.deliver(func() {
				n.table.MachineLeaving(l.address, boot)
				n.refreshTopology()
			})
		}
	})
}

// changeCatalog makes the next revision and spreads it to the nodes.
func (w *world) changeCatalog(change func(service *catalog.Service, revision uint64)) {
	next := *w.catalog
	next.Revision++
	service := next.Services[w.config.Service.Name]
	service.Leaves = maps.Clone(service.Leaves)
	service.Partitions = slices.Clone(service.Partitions)
	change(&service, next.Revision)
	next.Services = map[string]catalog.Service{service.Name: service}
	w.catalog = &next
	for _, n := range w.nodes {
		lag := scale(w.config.Deployment.Leaf.CommandLag, w.faultRandom.Float64())
		w.engine.after(lag, func() {
			n.deliver(func() { n.install(&next) })
		})
	}
}

// install takes a catalog unless the node holds a newer one.
func (n *node) install(next *catalog.Catalog) {
	if next.Revision < n.known.Revision {
		return
	}
	n.table.SetCatalog(next)
	n.refreshTopology()
}

// roll gives every leaf the next index version, one after another, and takes
// the older ones away after as long again and kept times the spread.
func (w *world) roll(spread time.Duration, kept float64) {
	for _, l := range w.leaves {
		load := scale(spread, w.faultRandom.Float64())
		drop := load + scale(spread, w.faultRandom.Float64()+kept)
		w.engine.after(load, func() {
			w.versions[l.index]++
			l.addHoldings(w.currentHoldings(l.index))
		})
		w.engine.after(drop, func() { l.dropOldest(w.currentHoldings(l.index)) })
	}
}

// repartition adds a partition, which the leaves load one after another. Zero
// shards means that each shard is split in two.
func (w *world) repartition(shards int, spread time.Duration) {
	if shards == 0 {
		shards = 2 * w.epochShards[len(w.epochShards)-1]
	}
	w.epochShards = append(w.epochShards, shards)
	w.changeCatalog(func(service *catalog.Service, _ uint64) {
		epoch := service.Partitions[len(service.Partitions)-1].Epoch + 1
		service.Partitions = append(service.Partitions, catalog.Partition{Epoch: epoch, Shards: shards})
		if len(service.Partitions) > catalog.RetainedPartitions {
			service.Partitions = service.Partitions[1:]
		}
	})
	for _, l := range w.leaves {
		load := scale(spread, w.faultRandom.Float64())
		drop := spread + scale(spread, w.faultRandom.Float64())
		w.engine.after(load, func() { l.addHoldings(w.currentHoldings(l.index)) })
		w.engine.after(drop, func() { l.dropOldest(w.currentHoldings(l.index)) })
	}
}

// currentHoldings is what a leaf would load now: its newest index version in
// the newest partition.
func (w *world) currentHoldings(index int) []leaf.Holding {
	partitions := w.catalog.Services[w.config.Service.Name].Partitions
	newest := partitions[len(partitions)-1]
	return []leaf.Holding{{
		Snapshot: catalog.Snapshot{Version: w.versions[index], Epoch: newest.Epoch},
		Shards:   w.config.Service.placement(index, newest.Shards),
	}}
}

// addHoldings adds what the leaf does not hold yet.
func (l *emulatedLeaf) addHoldings(loaded []leaf.Holding) {
	if l.up != leafUp {
		return
	}
	held := slices.Clone(l.holdings)
	for _, holding := range loaded {
		known := slices.ContainsFunc(held, func(old leaf.Holding) bool { return old.Snapshot == holding.Snapshot })
		if !known {
			held = append(held, holding)
		}
	}
	l.holdings = held
}

// dropOldest drops all that is older than what the leaf loads now.
func (l *emulatedLeaf) dropOldest(current []leaf.Holding) {
	newest := current[len(current)-1].Snapshot
	l.holdings = slices.DeleteFunc(slices.Clone(l.holdings), func(old leaf.Holding) bool {
		return old.Snapshot.Less(newest)
	})
}
