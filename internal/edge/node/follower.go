package node

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/decide/startup"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/roster"
)

// configConsumer runs requests by the configuration that it is given; it is a
// forward.Forwarder.
type configConsumer interface {
	Table() *route.Table
	Version() uint64
	Install(table *route.Table) bool
	SetFresh(fresh bool)
	SetOutage(outage bool)
}

// storedRollouts follows the orders and records of roll-outs in the store. It returns
// whether a change alters the topology.
type storedRollouts interface {
	decode(items []mirror.Item) rolloutItems
	// replace is called with the mutex of the view held, and changeOrder and
	// changeRecord without.
	replace(all rolloutItems, stale bool)
	changeOrder(changed mirror.Event) bool
	changeRecord(changed mirror.Event) bool
}

// storedQuarantine follows the records of requests under which leaves end.
type storedQuarantine interface {
	replace(items map[quarantine.Content]quarantine.Known, stale bool)
	set(content quarantine.Content, stored quarantine.Known)
	remove(content quarantine.Content, revision uint64)
	setStoreAway(away bool)
}

// follower applies what the store holds, and its changes, to a node. It implements
// mirror.Sink and plans the start.
type follower struct {
	decoder    Decoder
	self       roster.Member
	seeds      []netip.AddrPort
	clock      clock.Clock
	logger     *slog.Logger
	metrics    *metrics
	view       *view
	announcer  *announcer
	config     configConsumer
	rollouts   storedRollouts
	quarantine storedQuarantine
	publisher  interface {
		publish()
		publishLocked()
	}
	terms    *terms
	delegate interface{ SetTerms(terms executors.Terms) }
}

var _ mirror.Sink = (*follower)(nil)

// reading is what one reading of the store holds, decoded.
type reading struct {
	config         *route.Config // nil if it brings no newer one
	configRevision uint64
	leaves         []registry.Leaf
	nodes          map[string]roster.Member // by key
	cordons        []string                 // zones out of service
	rollouts       rolloutItems
	quarantined    map[quarantine.Content]quarantine.Known
}

// decode decodes all items of a reading. Those that can't be read are logged and left
// out.
func (f *follower) decode(items []mirror.Item) reading {
	all := reading{
		nodes:       make(map[string]roster.Member),
		quarantined: make(map[quarantine.Content]quarantine.Known),
		rollouts:    f.rollouts.decode(items),
	}
	for _, item := range items {
		switch f.decoder.Kind(item.Key) {
		case KindConfig:
			all.config, all.configRevision = f.newerConfig(item), item.Revision
		case KindLeaf:
			if leaf, ok := f.leaf(item); ok {
				all.leaves = append(all.leaves, leaf)
			}
		case KindNode:
			if member, ok := f.member(item); ok {
				all.nodes[item.Key] = member
			}
		case KindCordon:
			all.cordons = append(all.cordons, f.decoder.CordonedZone(item.Key))
		case KindQuarantine:
			if content, known, ok := f.quarantineRecord(item); ok {
				all.quarantined[content] = known
			}
		}
	}
	return all
}

// Replace implements mirror.Sink. The leaves come into use before the configuration
// that may name them: else its requests would be refused for want of leaves.
func (f *follower) Replace(items []mirror.Item, read mirror.Reading) {
	all := f.decode(items)
	f.quarantine.replace(all.quarantined, read.Stale)
	cordonsChanged := f.replaceView(all, f.announcer.formerLease(items), read.Stale)
	if all.config != nil {
		f.install(all.config, all.configRevision)
	}
	for _, zone := range cordonsChanged {
		event.Log(f.logger, event.ZoneCordoned{Zone: zone, Cordoned: slices.Contains(all.cordons, zone)})
	}
	event.Log(f.logger, event.StoreRead{Leaves: len(all.leaves), Nodes: len(all.nodes), AfterGap: read.Gap, Stale: read.Stale})
	f.config.SetFresh(!read.Stale)
	if !read.Stale {
		f.metrics.storeUp.Set(1)
	}
}

// replaceView applies a reading to the view and publishes it. It returns the zones that
// were taken out of service or put back.
func (f *follower) replaceView(all reading, formerLease uint64, stale bool) (cordonsChanged []string) {
	f.view.mutex.Lock()
	defer f.view.mutex.Unlock()
	f.view.leaves.Replace(f.clock.Now(), all.leaves)
	cordonsChanged = f.view.leaves.ReplaceCordons(f.clock.Now(), all.cordons, stale)
	f.rollouts.replace(all.rollouts, stale)
	if !f.view.leavesKnown {
		f.announcer.begin(formerLease)
	}
	f.view.leavesKnown = true
	f.view.nodes.Replace(f.clock.Now(), all.nodes)
	if all.config != nil {
		f.view.applyServices(all.config)
	}
	f.publisher.publishLocked()
	return cordonsChanged
}

// Change implements mirror.Sink. The removal of the configuration changes
// nothing: the last one stays in force.
func (f *follower) Change(events []mirror.Event) {
	changed := false
	for _, one := range events {
		switch f.decoder.Kind(one.Key) {
		case KindConfig:
			if !one.Removed {
				f.changeConfig(one.Item)
			}
		case KindLeaf:
			f.changeLeaf(one)
			changed = true
		case KindNode:
			f.changeNode(one)
			changed = true
		case KindCordon:
			f.changeCordon(one)
			changed = true
		case KindOrder:
			changed = f.rollouts.changeOrder(one) || changed
		case KindRecord:
			changed = f.rollouts.changeRecord(one) || changed
		case KindQuarantine:
			f.changeQuarantine(one)
		}
	}
	f.config.SetFresh(true)
	if changed {
		f.publisher.publish()
	}
}

// Lost implements mirror.Sink.
func (f *follower) Lost(err error) {
	f.config.SetFresh(false)
	f.config.SetOutage(true)
	f.quarantine.setStoreAway(true)
	f.metrics.storeUp.Set(0)
	event.Log(f.logger, event.StoreLost{Error: err})
}

// Regained implements mirror.Sink.
func (f *follower) Regained(away time.Duration) {
	f.view.mutex.Lock()
	f.view.leaves.Outage(f.clock.Now())
	f.view.mutex.Unlock()
	f.config.SetOutage(false)
	f.quarantine.setStoreAway(false)
	f.metrics.storeUp.Set(1)
	event.Log(f.logger, event.StoreRegained{Away: away})
}

// planStart implements mirror.Planner.
func (f *follower) planStart(items []mirror.Item) startup.Plan {
	known := roster.New(nodesMemory, 0)
	for _, item := range items {
		if member, ok := f.member(item); ok {
			known.Add(f.clock.Now(), item.Key, member)
		}
	}
	return startup.NewPlan(f.self.Peer, known.Members(f.clock.Now()), f.seeds, rand.Shuffle)
}
