package simulation

import (
	"maps"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// scheduleFaults schedules the faults of the scenario.
func (s *simulator) scheduleFaults() {
	for _, fault := range s.config.Scenario.Faults {
		s.engine.scheduleAt(fault.At, func() { s.injectFault(fault) })
	}
}

// scheduleUndo schedules the end of a fault that has a duration.
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

// stopLeaf stops a leaf abruptly. If only the process crashed, its connections are reset
// immediately. If the machine stopped responding, nodes notice only after SilenceTimeout.
func (s *simulator) stopLeaf(l *emulatedLeaf, liveness leafLiveness) {
	if l.liveness != leafUp {
		return
	}
	l.stop(liveness)
	timeout := time.Duration(0)
	if liveness == leafSilent {
		timeout = s.config.Deployment.Network.SilenceTimeout
	}
	s.network.breakLinks(l, timeout)
}

func (s *simulator) restartLeaf(l *emulatedLeaf) {
	if l.liveness == leafUp {
		l.stop(leafCrashed)
	}
	l.restart()
	s.network.breakLinks(l, 0)
}

// silenceZone stops all leaves and nodes of a zone. The leaves restart if the fault has a
// duration; the nodes stay down and their queries are lost.
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

// recordLeaving records when the first source reported the leaf as leaving.
func (s *simulator) recordLeaving(l *emulatedLeaf) {
	if !l.leaving {
		l.leaving = true
		l.leavingSince = s.engine.now
	}
}

// setRetiring changes the catalog as an operator's command does. Nodes receive the change within
// CommandLag.
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

// announceLeaving reports the current boot of a leaf as leaving in the machine list, permanently.
// The report does not count if the leaf restarts, or an operator adds it again, before the list is
// updated.
func (s *simulator) announceLeaving(l *emulatedLeaf) {
	boot, readdCount := l.bootID(), l.readdCount
	s.engine.scheduleAfter(s.config.Deployment.Leaf.MachineListLag, func() {
		if l.bootID() == boot && l.readdCount == readdCount {
			s.recordLeaving(l)
		}
		for _, n := range s.nodes {
			n.deliver(func() {
				n.table.MarkMachineLeaving(l.address, boot)
				n.refreshTopology()
			})
		}
	})
}

// updateCatalog creates the next revision of the catalog and sends it to all nodes.
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

// installCatalog installs a catalog unless the node has a newer one.
func (n *node) installCatalog(next *catalog.Catalog) {
	if next.Revision < n.currentTopology.Revision {
		return
	}
	n.table.SetCatalog(next)
	n.refreshTopology()
}

// rollOutVersion loads the next index version on every leaf, at a random time within spread. A
// leaf drops its older versions after a further random part of spread plus retention times spread.
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

// repartition adds a partition that every leaf loads at a random time within spread. If shards is
// zero, each shard is split in two.
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

// newestHoldings returns what a leaf loads now: the newest index version that it was given, in the
// newest partition.
func (s *simulator) newestHoldings(index int) []leaf.Holding {
	partitions := s.catalog.Services[s.config.Service.Name].Partitions
	newest := partitions[len(partitions)-1]
	return []leaf.Holding{{
		Snapshot: catalog.Snapshot{Version: s.leafVersions[index], Epoch: newest.Epoch},
		Shards:   s.config.Service.placement(index, newest.Shards),
	}}
}

// addHoldings adds the holdings whose snapshots the leaf does not hold yet.
func (l *emulatedLeaf) addHoldings(loaded []leaf.Holding) {
	if l.liveness != leafUp {
		return
	}
	updated := slices.Clone(l.holdings)
	for _, holding := range loaded {
		held := slices.ContainsFunc(updated, func(old leaf.Holding) bool { return old.Snapshot == holding.Snapshot })
		if !held {
			updated = append(updated, holding)
		}
	}
	l.holdings = updated
}

// dropOlderHoldings drops all holdings with older snapshots than the current ones.
func (l *emulatedLeaf) dropOlderHoldings(current []leaf.Holding) {
	newest := current[len(current)-1].Snapshot
	l.holdings = slices.DeleteFunc(slices.Clone(l.holdings), func(old leaf.Holding) bool {
		return old.Snapshot.Less(newest)
	})
}
