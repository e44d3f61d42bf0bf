package node

import (
	"bytes"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/decide/share"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/roster"
)

// storeSink takes in what the store holds.
type storeSink struct{ *Node }

// Replace implements mirror.Sink. The leaves come into use before the configuration
// that may name them: else its requests would be refused for want of leaves.
func (s storeSink) Replace(items []mirror.Item, read mirror.Reading) {
	var leaves []registry.Leaf
	var cordons []string
	var config *route.Config
	var configRevision uint64
	nodes := make(map[string]roster.Member)
	suspects := make(map[quarantine.Content]quarantine.Known)
	found := s.rollouts.read(items)
	for _, item := range items {
		switch s.ports.Decoder.Kind(item.Key) {
		case KindConfig:
			config, configRevision = s.usable(item), item.Revision
		case KindLeaf:
			if read, ok := s.read(item); ok {
				leaves = append(leaves, read)
			}
		case KindNode:
			if member, ok := s.member(item); ok {
				nodes[item.Key] = member
			}
		case KindCordon:
			cordons = append(cordons, s.ports.Decoder.CordonedZone(item.Key))
		case KindQuarantine:
			if content, known, ok := s.suspect(item); ok {
				suspects[content] = known
			}
		}
	}
	s.gate.replace(suspects, read.Stale)
	former := s.formerLease(items)
	s.mutex.Lock()
	s.leaves.Replace(s.clock.Now(), leaves)
	cordonsChanged := s.leaves.ReplaceCordons(s.clock.Now(), cordons, read.Stale)
	s.rollouts.replace(found, read.Stale)
	if !s.leavesKnown {
		s.former = former
		close(s.firstRead)
	}
	s.leavesKnown = true
	s.nodes.Replace(s.clock.Now(), nodes)
	if config != nil {
		s.heedLocked(config)
	}
	s.publishLocked()
	s.mutex.Unlock()
	if config != nil {
		s.install(config, configRevision)
	}
	for _, zone := range cordonsChanged {
		event.Log(s.logger, event.ZoneCordoned{Zone: zone, Cordoned: slices.Contains(cordons, zone)})
	}
	event.Log(s.logger, event.StoreRead{Leaves: len(leaves), Nodes: len(nodes), AfterGap: read.Gap, Stale: read.Stale})
	s.forwarder.SetFresh(!read.Stale)
}

// formerLease returns the lease of the last announcement that says what this node
// would say of itself: by a former process on the same machine.
func (s storeSink) formerLease(items []mirror.Item) uint64 {
	_, value := s.announced()
	var last mirror.Item
	for _, item := range items {
		own := s.ports.Decoder.Kind(item.Key) == KindNode && bytes.Equal(item.Value, value)
		if own && item.Revision > last.Revision {
			last = item
		}
	}
	return last.Lease
}

// Change implements mirror.Sink. The removal of the configuration changes
// nothing: the last one stays in force.
func (s storeSink) Change(events []mirror.Event) {
	changed := false
	for _, one := range events {
		switch s.ports.Decoder.Kind(one.Key) {
		case KindConfig:
			if !one.Removed {
				s.changeConfig(one.Item)
			}
		case KindLeaf:
			s.changeLeaf(one)
			changed = true
		case KindNode:
			s.changeNode(one)
			changed = true
		case KindCordon:
			s.changeCordon(one)
			changed = true
		case KindOrder:
			changed = s.rollouts.changeOrder(one) || changed
		case KindRecord:
			changed = s.rollouts.changeRecord(one) || changed
		case KindQuarantine:
			s.changeSuspect(one)
		}
	}
	s.forwarder.SetFresh(true)
	if changed {
		s.publish()
	}
}

// Lost implements mirror.Sink.
func (s storeSink) Lost(err error) {
	s.forwarder.SetFresh(false)
	s.forwarder.SetOutage(true)
	s.gate.away.Store(true)
	s.metrics.storeUp.Set(0)
	event.Log(s.logger, event.StoreLost{Error: err})
}

// Regained implements mirror.Sink.
func (s storeSink) Regained(away time.Duration) {
	s.mutex.Lock()
	s.leaves.Outage(s.clock.Now())
	s.mutex.Unlock()
	s.forwarder.SetOutage(false)
	s.gate.away.Store(false)
	s.metrics.storeUp.Set(1)
	event.Log(s.logger, event.StoreRegained{Away: away})
}

// usable reads a configuration; nil if it is not newer than the one in force, or
// cannot be used.
func (s storeSink) usable(item mirror.Item) *route.Config {
	config, err := s.ports.Decoder.Config(item)
	if err == nil {
		err = config.Validate()
	}
	if err != nil {
		s.metrics.configsRejected.Inc()
		event.Log(s.logger, event.ConfigRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return nil
	}
	if s.forwarder.Table() != nil && config.Version <= s.forwarder.Version() {
		return nil
	}
	return config
}

// heedLocked takes in what a configuration says of services and their leaves, which
// the next topology shows. The caller holds the mutex.
func (s storeSink) heedLocked(config *route.Config) {
	coldTimes := make(map[string]time.Duration, len(config.Services))
	for _, declared := range config.Services {
		s.index.Of(declared.Name)
		coldTimes[declared.Name] = declared.ColdTime
	}
	for index := range config.Routes {
		for _, service := range config.Routes[index].Services() {
			s.index.Of(service)
		}
	}
	s.leaves.SetColdTimes(coldTimes)
	s.shards = shardsOf(config)
	s.coldBounds = coldBoundsOf(config, s.shards)
}

// install puts a configuration into force. The Dispatcher has the topology by then
// that goes with it.
func (s storeSink) install(config *route.Config, revision uint64) {
	s.forwarder.Install(route.NewTable(config))
	s.delegate.SetTerms(s.terms())
	s.metrics.configVersion.Set(float64(config.Version))
	event.Log(s.logger, event.ConfigInstalled{
		Version: config.Version, Revision: revision, Routes: len(config.Routes), Services: len(config.Services),
	})
}

// changeConfig puts a configuration into force, with the topology by it.
func (s storeSink) changeConfig(item mirror.Item) {
	config := s.usable(item)
	if config == nil {
		return
	}
	s.mutex.Lock()
	s.heedLocked(config)
	s.publishLocked()
	s.mutex.Unlock()
	s.install(config, item.Revision)
}

// changeLeaf takes in an announcement, or that it is gone. One that cannot be read
// names no leaf any more.
func (s storeSink) changeLeaf(changed mirror.Event) {
	read, ok := registry.Leaf{}, false
	if !changed.Removed {
		read, ok = s.read(changed.Item)
	}
	if !ok {
		s.removeLeaf(changed)
		return
	}
	s.mutex.Lock()
	taken := s.leaves.Set(s.clock.Now(), read)
	s.mutex.Unlock()
	if !taken {
		s.metrics.leavesRejected.Inc()
		event.Log(s.logger, event.LeafRejected{Key: changed.Key, Revision: changed.Revision, Error: registry.ErrFormerStart})
		return
	}
	event.Log(s.logger, event.LeafChanged{
		Leaf: read.Incarnation(), Service: read.Service, Address: read.Address,
		Draining: read.Draining, Cold: read.Cold, Revision: changed.Revision,
	})
}

// removeLeaf takes in that a key announces no leaf any more.
func (s storeSink) removeLeaf(changed mirror.Event) {
	id, err := s.ports.Decoder.LeafID(changed.Key)
	if err != nil {
		return // it never announced one, which was logged when it was written
	}
	s.mutex.Lock()
	s.leaves.Remove(s.clock.Now(), id)
	s.mutex.Unlock()
	event.Log(s.logger, event.LeafChanged{Leaf: id, Removed: true, Revision: changed.Revision})
}

// changeCordon takes a zone out of service, or puts it back.
func (s storeSink) changeCordon(changed mirror.Event) {
	zone := s.ports.Decoder.CordonedZone(changed.Key)
	s.mutex.Lock()
	news := s.leaves.Cordon(s.clock.Now(), zone, !changed.Removed)
	s.mutex.Unlock()
	if news {
		event.Log(s.logger, event.ZoneCordoned{Zone: zone, Cordoned: !changed.Removed, Revision: changed.Revision})
	}
}

// changeSuspect takes in what the store has of a request under which leaves ended.
func (s storeSink) changeSuspect(changed mirror.Event) {
	if !changed.Removed {
		if content, known, ok := s.suspect(changed.Item); ok {
			s.gate.set(content, known)
		}
		return
	}
	if content, err := s.ports.Decoder.Quarantined(changed.Key); err == nil { // else it was never taken in
		s.gate.remove(content, changed.Revision)
	}
}

func (s storeSink) suspect(item mirror.Item) (quarantine.Content, quarantine.Known, bool) {
	content, err := s.ports.Decoder.Quarantined(item.Key)
	var known quarantine.Known
	if err == nil {
		known, err = s.ports.Decoder.Quarantine(item)
	}
	if err != nil {
		event.Log(s.logger, event.QuarantineRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return content, known, false
	}
	return content, known, true
}

func (s storeSink) changeNode(changed mirror.Event) {
	member, counts := roster.Member{}, false
	if !changed.Removed {
		member, counts = s.member(changed.Item)
	}
	s.mutex.Lock()
	if counts {
		s.nodes.Add(s.clock.Now(), changed.Key, member)
	} else {
		s.nodes.Remove(s.clock.Now(), changed.Key)
	}
	s.mutex.Unlock()
	event.Log(s.logger, event.NodeChanged{
		Peer: s.ports.Decoder.Node(changed.Key), Removed: changed.Removed, Revision: changed.Revision,
	})
}

// member reads the announcement of a node. One that cannot be read still counts,
// under its key, if it is under a lease, as those of nodes are: another version may
// have written it. Without a lease another writer has.
func (s storeSink) member(item mirror.Item) (roster.Member, bool) {
	member, err := roster.Decode(item.Value)
	if err != nil || member.Name == "" {
		event.Log(s.logger, event.NodeRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return roster.Member{Name: s.ports.Decoder.Node(item.Key)}, item.Lease != 0
	}
	return member, true
}

func (s storeSink) read(item mirror.Item) (registry.Leaf, bool) {
	read, err := s.ports.Decoder.Leaf(item)
	if err != nil {
		s.metrics.leavesRejected.Inc()
		event.Log(s.logger, event.LeafRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return registry.Leaf{}, false
	}
	return read, true
}

// publish drops the leaves whose doubt has ended, and hands the others to the
// Dispatcher.
func (f *Node) publish() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.publishLocked()
}

// publishLocked is publish under the mutex.
func (f *Node) publishLocked() {
	_, next := f.leaves.Expire(f.clock.Now())
	if next > 0 {
		f.expiry.Reset(max(next-f.clock.Now(), 0))
	}
	nodes := f.nodes.Count(f.clock.Now())
	f.metrics.nodes.Set(float64(nodes))
	f.gate.setNodes(nodes)
	f.leaves.SetStages(f.rollouts.stages())
	topology := f.leaves.Topology()
	f.metrics.leaves.Set(float64(len(topology.Leaves)))
	cordoned := f.leaves.Cordoned()
	f.outOfService.Store(&cordoned)
	f.metrics.cordoned.Set(float64(len(cordoned)))
	members := f.nodes.Members(f.clock.Now())
	f.rollouts.share(members)
	roles := f.roles.Assign(f.member, members)
	f.delegate.SetRoles(roles, f.terms())
	f.combine.SetMembers(roles.Combiners(members))
	f.setWatchers(members)
	divided := share.Of(roles, members, nodes)
	f.conn.ResizeBudgets(f.budgets(roles, members, nodes))
	f.conn.SetProbeInterval(divided.ProbeInterval())
	f.boundColdLeaves(&topology, roles, members)
	f.ports.OnLeaves(f.shareLeaves(&topology, divided))
	f.conn.SetTopology(topology)
}
