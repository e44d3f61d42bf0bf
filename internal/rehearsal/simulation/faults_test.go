package simulation

import (
	"maps"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// scheduleFaults puts the faults of the scenario on the schedule.
func (s *simulator) scheduleFaults() {
	for _, fault := range s.config.Scenario.Faults {
		s.engine.scheduleAt(fault.At, func() { s.injectFault(fault) })
	}
}

// later undoes a fault after its duration, if it has one.
func (s *simulator) scheduleUndo(fault Fault, undo func()) {
	if fault.Duration > 0 {
		s.engine.scheduleAfter(fault.Duration, undo)
	}
}

func (s *simulator) injectFault(fault Fault) {
	l := s.leaves[fault.Leaf]
	switch fault.Kind {
	case FaultSlow:
		l.slowFactor = fault.Factor
		s.scheduleUndo(fault, func() { l.slowFactor = 1 })
	case FaultPause:
		l.pause(fault.Duration)
	case FaultCrash:
		s.stopLeaf(l, leafCrashed)
		s.scheduleUndo(fault, func() { s.restartLeaf(l) })
	case FaultSilence:
		s.stopLeaf(l, leafSilent)
		s.scheduleUndo(fault, func() { s.restartLeaf(l) })
	case FaultSilenceZone:
		s.silenceZone(fault)
	case FaultDrain:
		l.draining = true
		s.recordLeaving(l)
		s.scheduleUndo(fault, func() { s.restartLeaf(l) })
	case FaultRetire:
		s.setRetiring(l, true)
		s.scheduleUndo(fault, func() { s.setRetiring(l, false) })
	case FaultMachineListLeaving:
		s.announceLeaving(l)
	case FaultFalseReport:
		l.reportsIdle = true
		s.scheduleUndo(fault, func() { l.reportsIdle = false })
	case FaultStaleReply:
		l.staleReplyRatio = fault.Factor
		s.scheduleUndo(fault, func() { l.staleReplyRatio = 0 })
	case FaultRollout:
		s.rollOutVersion(fault.Duration, fault.Factor)
	case FaultRepartition:
		s.repartition(fault.Shards, fault.Duration)
	case FaultFreezeNode:
		n := s.nodes[fault.Node]
		n.thawAt = max(n.thawAt, s.engine.now+fault.Duration)
	}
}

// stopLeaf ends a leaf without warning. Its connections are reset if only the
// process died; a silent machine shows after a timeout.
func (s *simulator) stopLeaf(l *emulatedLeaf, liveness leafLiveness) {
	if l.liveness != leafUp {
		return
	}
	l.stop(liveness)
	after := time.Duration(0)
	if liveness == leafSilent {
		after = s.config.Deployment.Network.SilenceTimeout
	}
	s.network.breakLinks(l, after)
}

func (s *simulator) restartLeaf(l *emulatedLeaf) {
	if l.liveness == leafUp {
		l.stop(leafCrashed)
	}
	l.restart()
	s.network.breakLinks(l, 0)
}

// loseZone takes the leaves and the nodes of a zone away. The leaves come back
// if the fault has a duration; the nodes' queries are lost with them.
func (s *simulator) silenceZone(fault Fault) {
	for _, l := range s.leaves {
		if l.zone == fault.Zone {
			s.stopLeaf(l, leafSilent)
			s.scheduleUndo(fault, func() { s.restartLeaf(l) })
		}
	}
	for _, n := range s.nodes {
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
func (s *simulator) recordLeaving(l *emulatedLeaf) {
	if !l.leaving {
		l.leaving = true
		l.leavingSince = s.engine.now
	}
}

// retire changes the catalog by an operator's command; nodes receive it within
// the lag of commands.
func (s *simulator) setRetiring(l *emulatedLeaf, retiring bool) {
	s.updateCatalog(func(service *catalog.Service, revision uint64) {
		changed := service.Leaves[l.address]
		changed.Retiring = retiring
		if !retiring {
			changed.AddedAt = revision
		}
		service.Leaves[l.address] = changed
	})
	if retiring {
		s.recordLeaving(l)
	} else {
		l.leaving = false
		l.readdCount++
	}
}

// listLeaving lets the machine list call a leaf leaving, for good. An operator
// who adds the leaf again while the list lags overrides it.
func (s *simulator) announceLeaving(l *emulatedLeaf) {
	boot, readdCount := l.bootID(), l.readdCount
	s.engine.scheduleAfter(s.config.Deployment.Leaf.MachineListLag, func() {
		if l.bootID() == boot && l.readdCount == readdCount {
			s.recordLeaving(l)
		}
		for _, n := range s.nodes {
			n.deliver(func() {
				n.table.MachineLeaving(l.address, boot)
				n.refreshTopology()
			})
		}
	})
}

// changeCatalog makes the next revision and spreads it to the nodes.
func (s *simulator) updateCatalog(change func(service *catalog.Service, revision uint64)) {
	next := *s.catalog
	next.Revision++
	service := next.Services[s.config.Service.Name]
	service.Leaves = maps.Clone(service.Leaves)
	service.Partitions = slices.Clone(service.Partitions)
	change(&service, next.Revision)
	next.Services = map[string]catalog.Service{service.Name: service}
	s.catalog = &next
	for _, n := range s.nodes {
		lag := scale(s.config.Deployment.Leaf.CommandLag, s.faultRandom.Float64())
		s.engine.scheduleAfter(lag, func() {
			n.deliver(func() { n.installCatalog(&next) })
		})
	}
}

// install takes a catalog unless the node holds a newer one.
func (n *node) installCatalog(next *catalog.Catalog) {
	if next.Revision < n.currentTopology.Revision {
		return
	}
	n.table.SetCatalog(next)
	n.refreshTopology()
}

// roll gives every leaf the next index version, one after another, and takes
// the older ones away after as long again and kept times the spread.
func (s *simulator) rollOutVersion(spread time.Duration, retention float64) {
	for _, l := range s.leaves {
		load := scale(spread, s.faultRandom.Float64())
		drop := load + scale(spread, s.faultRandom.Float64()+retention)
		s.engine.scheduleAfter(load, func() {
			s.leafVersions[l.index]++
			l.addHoldings(s.newestHoldings(l.index))
		})
		s.engine.scheduleAfter(drop, func() { l.dropOlderHoldings(s.newestHoldings(l.index)) })
	}
}

// repartition adds a partition, which the leaves load one after another. Zero
// shards means that each shard is split in two.
func (s *simulator) repartition(shards int, spread time.Duration) {
	if shards == 0 {
		shards = 2 * s.epochShards[len(s.epochShards)-1]
	}
	s.epochShards = append(s.epochShards, shards)
	s.updateCatalog(func(service *catalog.Service, _ uint64) {
		epoch := service.Partitions[len(service.Partitions)-1].Epoch + 1
		service.Partitions = append(service.Partitions, catalog.Partition{Epoch: epoch, Shards: shards})
		if len(service.Partitions) > catalog.RetainedPartitions {
			service.Partitions = service.Partitions[1:]
		}
	})
	for _, l := range s.leaves {
		load := scale(spread, s.faultRandom.Float64())
		drop := spread + scale(spread, s.faultRandom.Float64())
		s.engine.scheduleAfter(load, func() { l.addHoldings(s.newestHoldings(l.index)) })
		s.engine.scheduleAfter(drop, func() { l.dropOlderHoldings(s.newestHoldings(l.index)) })
	}
}

// currentHoldings is what a leaf would load now: its newest index version in
// the newest partition.
func (s *simulator) newestHoldings(index int) []leaf.Holding {
	partitions := s.catalog.Services[s.config.Service.Name].Partitions
	newest := partitions[len(partitions)-1]
	return []leaf.Holding{{
		Snapshot: catalog.Snapshot{Version: s.leafVersions[index], Epoch: newest.Epoch},
		Shards:   s.config.Service.placement(index, newest.Shards),
	}}
}

// addHoldings adds what the leaf does not hold yet.
func (l *emulatedLeaf) addHoldings(loaded []leaf.Holding) {
	if l.liveness != leafUp {
		return
	}
	updated := slices.Clone(l.updated)
	for _, holding := range loaded {
		held := slices.ContainsFunc(updated, func(old leaf.Holding) bool { return old.Snapshot == holding.Snapshot })
		if !held {
			updated = append(updated, holding)
		}
	}
	l.updated = updated
}

// dropOldest drops all that is older than what the leaf loads now.
func (l *emulatedLeaf) dropOlderHoldings(current []leaf.Holding) {
	newest := current[len(current)-1].Snapshot
	l.updated = slices.DeleteFunc(slices.Clone(l.updated), func(old leaf.Holding) bool {
		return old.Snapshot.Less(newest)
	})
}
