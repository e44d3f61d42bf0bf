package simulation

import (
	"maps"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// scheduleFaults puts the faults of the scenario on the schedule.
func (sim *simulator) scheduleFaults() {
	for _, fault := range sim.config.Scenario.Faults {
		sim.engine.scheduleAt(fault.At, func() { sim.injectFault(fault) })
	}
}

// later undoes a fault after its duration, if it has one.
func (sim *simulator) scheduleUndo(fault Fault, undo func()) {
	if fault.Duration > 0 {
		sim.engine.scheduleAfter(fault.Duration, undo)
	}
}

func (sim *simulator) injectFault(fault Fault) {
	l := sim.leaves[fault.Leaf]
	switch fault.Kind {
	case FaultSlow:
		l.slowFactor = fault.Factor
		sim.scheduleUndo(fault, func() { l.slowFactor = 1 })
	case FaultPause:
		l.pause(fault.Duration)
	case FaultCrash:
		sim.stopLeaf(l, leafCrashed)
		sim.scheduleUndo(fault, func() { sim.restartLeaf(l) })
	case FaultSilence:
		sim.stopLeaf(l, leafSilent)
		sim.scheduleUndo(fault, func() { sim.restartLeaf(l) })
	case FaultSilenceZone:
		sim.silenceZone(fault)
	case FaultDrain:
		l.draining = true
		sim.recordLeaving(l)
		sim.scheduleUndo(fault, func() { sim.restartLeaf(l) })
	case FaultRetire:
		sim.setRetiring(l, true)
		sim.scheduleUndo(fault, func() { sim.setRetiring(l, false) })
	case FaultMachineListLeaving:
		sim.announceLeaving(l)
	case FaultFalseReport:
		l.reportsIdle = true
		sim.scheduleUndo(fault, func() { l.reportsIdle = false })
	case FaultStaleReply:
		l.staleReplyRatio = fault.Factor
		sim.scheduleUndo(fault, func() { l.staleReplyRatio = 0 })
	case FaultRollout:
		sim.rollOutVersion(fault.Duration, fault.Factor)
	case FaultRepartition:
		sim.repartition(fault.Shards, fault.Duration)
	case FaultFreezeNode:
		n := sim.nodes[fault.Node]
		n.thawAt = max(n.thawAt, sim.engine.now+fault.Duration)
	}
}

// stopLeaf ends a leaf without warning. Its connections are reset if only the
// process died; a silent machine shows after a timeout.
func (sim *simulator) stopLeaf(l *emulatedLeaf, state leafState) {
	if l.state != leafUp {
		return
	}
	l.stop(state)
	after := time.Duration(0)
	if state == leafSilent {
		after = sim.config.Deployment.Network.SilenceTimeout
	}
	sim.network.breakLinks(l, after)
}

func (sim *simulator) restartLeaf(l *emulatedLeaf) {
	if l.state == leafUp {
		l.stop(leafCrashed)
	}
	l.restart()
	sim.network.breakLinks(l, 0)
}

// loseZone takes the leaves and the nodes of a zone away. The leaves come back
// if the fault has a duration; the nodes' queries are lost with them.
func (sim *simulator) silenceZone(fault Fault) {
	for _, l := range sim.leaves {
		if l.zone == fault.Zone {
			sim.stopLeaf(l, leafSilent)
			sim.scheduleUndo(fault, func() { sim.restartLeaf(l) })
		}
	}
	for _, n := range sim.nodes {
		if n.zone != fault.Zone {
			continue
		}
		n.down = true
		for _, q := range n.queries {
			q.lost = true
		}
	}
}

// noteLeaving remembers when the first source called the leaf leaving.
func (sim *simulator) recordLeaving(l *emulatedLeaf) {
	if !l.leaving {
		l.leaving = true
		l.leavingSince = sim.engine.now
	}
}

// retire changes the catalog by an operator's command; nodes receive it within
// the lag of commands.
func (sim *simulator) setRetiring(l *emulatedLeaf, retiring bool) {
	sim.updateCatalog(func(service *catalog.Service, revision uint64) {
		changed := service.Leaves[l.address]
		changed.Retiring = retiring
		if !retiring {
			changed.AddedAt = revision
		}
		service.Leaves[l.address] = changed
	})
	if retiring {
		sim.recordLeaving(l)
	} else {
		l.leaving = false
		l.readdCount++
	}
}

// listLeaving lets the machine list call a leaf leaving, for good. An operator
// who adds the leaf again while the list lags overrides it.
func (sim *simulator) announceLeaving(l *emulatedLeaf) {
	boot, added := l.bootID(), l.readdCount
	sim.engine.scheduleAfter(sim.config.Deployment.Leaf.MachineListLag, func() {
		if l.bootID() == boot && l.readdCount == added {
			sim.recordLeaving(l)
		}
		for _, n := range sim.nodes {
			n.deliver(func() {
				n.table.MachineLeaving(l.address, boot)
				n.refreshTopology()
			})
		}
	})
}

// changeCatalog makes the next revision and spreads it to the nodes.
func (sim *simulator) updateCatalog(change func(service *catalog.Service, revision uint64)) {
	next := *sim.catalog
	next.Revision++
	service := next.Services[sim.config.Service.Name]
	service.Leaves = maps.Clone(service.Leaves)
	service.Partitions = slices.Clone(service.Partitions)
	change(&service, next.Revision)
	next.Services = map[string]catalog.Service{service.Name: service}
	sim.catalog = &next
	for _, n := range sim.nodes {
		lag := scale(sim.config.Deployment.Leaf.CommandLag, sim.faultRandom.Float64())
		sim.engine.scheduleAfter(lag, func() {
			n.deliver(func() { n.installCatalog(&next) })
		})
	}
}

// install takes a catalog unless the node holds a newer one.
func (n *node) installCatalog(next *catalog.Catalog) {
	if next.Revision < n.topology.Revision {
		return
	}
	n.table.SetCatalog(next)
	n.refreshTopology()
}

// roll gives every leaf the next index version, one after another, and takes
// the older ones away after as long again and kept times the spread.
func (sim *simulator) rollOutVersion(spread time.Duration, retention float64) {
	for _, l := range sim.leaves {
		load := scale(spread, sim.faultRandom.Float64())
		drop := load + scale(spread, sim.faultRandom.Float64()+retention)
		sim.engine.scheduleAfter(load, func() {
			sim.leafVersions[l.index]++
			l.addHoldings(sim.newestHoldings(l.index))
		})
		sim.engine.scheduleAfter(drop, func() { l.dropOlderHoldings(sim.newestHoldings(l.index)) })
	}
}

// repartition adds a partition, which the leaves load one after another. Zero
// shards means that each shard is split in two.
func (sim *simulator) repartition(shards int, spread time.Duration) {
	if shards == 0 {
		shards = 2 * sim.epochShards[len(sim.epochShards)-1]
	}
	sim.epochShards = append(sim.epochShards, shards)
	sim.updateCatalog(func(service *catalog.Service, _ uint64) {
		epoch := service.Partitions[len(service.Partitions)-1].Epoch + 1
		service.Partitions = append(service.Partitions, catalog.Partition{Epoch: epoch, Shards: shards})
		if len(service.Partitions) > catalog.RetainedPartitions {
			service.Partitions = service.Partitions[1:]
		}
	})
	for _, l := range sim.leaves {
		load := scale(spread, sim.faultRandom.Float64())
		drop := spread + scale(spread, sim.faultRandom.Float64())
		sim.engine.scheduleAfter(load, func() { l.addHoldings(sim.newestHoldings(l.index)) })
		sim.engine.scheduleAfter(drop, func() { l.dropOlderHoldings(sim.newestHoldings(l.index)) })
	}
}

// currentHoldings is what a leaf would load now: its newest index version in
// the newest partition.
func (sim *simulator) newestHoldings(index int) []leaf.Holding {
	partitions := sim.catalog.Services[sim.config.Service.Name].Partitions
	newest := partitions[len(partitions)-1]
	return []leaf.Holding{{
		Snapshot: catalog.Snapshot{Version: sim.leafVersions[index], Epoch: newest.Epoch},
		Shards:   sim.config.Service.placement(index, newest.Shards),
	}}
}

// addHoldings adds what the leaf does not hold yet.
func (l *emulatedLeaf) addHoldings(loaded []leaf.Holding) {
	if l.state != leafUp {
		return
	}
	holdings := slices.Clone(l.holdings)
	for _, holding := range loaded {
		held := slices.ContainsFunc(holdings, func(old leaf.Holding) bool { return old.Snapshot == holding.Snapshot })
		if !held {
			holdings = append(holdings, holding)
		}
	}
	l.holdings = holdings
}

// dropOldest drops all that is older than what the leaf loads now.
func (l *emulatedLeaf) dropOlderHoldings(current []leaf.Holding) {
	newest := current[len(current)-1].Snapshot
	l.holdings = slices.DeleteFunc(slices.Clone(l.holdings), func(old leaf.Holding) bool {
		return old.Snapshot.Less(newest)
	})
}
