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
	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/decide/startup"
	"github.com/micaplank/micaplank/internal/decide/supersede"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/position"
	"github.com/micaplank/micaplank/internal/roster"
)

// configConsumer runs requests by the configuration that it is given. It is implemented by
// forward.Forwarder.
type configConsumer interface {
	Table() *route.Table
	Version() uint64
	Install(table *route.Table) bool
	SetFresh(fresh bool)
	SetOutage(outage bool)
}

// rolloutSink receives rollout orders and records from the store. The boolean results report
// whether the topology has to be published again.
type rolloutSink interface {
	decode(items []mirror.Item, read mirror.ReadInfo) rollout.Listing
	// replace is called with the mutex of the view held, applyOrderEvent and applyRecordEvent
	// without it.
	replace(listing rollout.Listing)
	applyOrderEvent(change mirror.Event) bool
	applyRecordEvent(change mirror.Event) bool
}

// quarantineSink receives the quarantine records of the store.
type quarantineSink interface {
	replace(items map[quarantine.Content]quarantine.StoredRecord, read mirror.ReadInfo)
	set(content quarantine.Content, record quarantine.StoredRecord)
	remove(content quarantine.Content, removed position.Position)
	setStoreUnavailable(unavailable bool)
}

// follower applies the content of the store and its changes to the parts of a node. It implements
// mirror.Sink and plans the start from a copy of another node.
type follower struct {
	decoder    Decoder
	self       roster.Member
	seeds      []netip.AddrPort
	clock      clock.Clock
	logger     *slog.Logger
	metrics    *metrics
	view       *view
	announcer  *announcer
	versions   supersede.Versions
	config     configConsumer
	rollouts   rolloutSink
	quarantine quarantineSink
	publisher  interface {
		publish()
		publishLocked()
	}
	terms    *terms
	delegate interface{ SetTerms(terms executors.Terms) }
}

var _ mirror.Sink = (*follower)(nil)

// decodedItems is the decoded content of one full read of the store.
type decodedItems struct {
	config         *route.Config // nil if the read has no newer one
	configRevision uint64
	leaves         []registry.Leaf
	nodes          map[string]roster.Member // by key
	cordons        []string                 // cordoned zones
	rollouts       rollout.Listing
	quarantined    map[quarantine.Content]quarantine.StoredRecord
}

// decode decodes all items of a full read. Items that cannot be decoded are logged and skipped.
func (f *follower) decode(items []mirror.Item, read mirror.ReadInfo) decodedItems {
	decoded := decodedItems{
		nodes:       make(map[string]roster.Member),
		quarantined: make(map[quarantine.Content]quarantine.StoredRecord),
		rollouts:    f.rollouts.decode(items, read),
	}
	for _, item := range items {
		switch f.decoder.Kind(item.Key) {
		case KindConfig:
			decoded.config, decoded.configRevision = f.decodeNewerConfig(item), item.Revision
		case KindLeaf:
			if leaf, ok := f.decodeLeaf(item); ok {
				decoded.leaves = append(decoded.leaves, leaf)
			}
		case KindNode:
			if member, ok := f.decodeMember(item); ok {
				decoded.nodes[item.Key] = member
			}
		case KindCordon:
			decoded.cordons = append(decoded.cordons, f.decoder.CordonedZone(item.Key))
		case KindQuarantine:
			if content, record, ok := f.decodeQuarantineRecord(item); ok {
				decoded.quarantined[content] = record
			}
		}
	}
	return decoded
}

// Replace implements mirror.Sink. The leaves are published before the configuration that may name
// them; otherwise its first requests would be refused because no leaf is known.
func (f *follower) Replace(items []mirror.Item, read mirror.ReadInfo) {
	decoded := f.decode(items, read)
	f.quarantine.replace(decoded.quarantined, read)
	previousLease := f.announcer.findPreviousLease(items)
	if read.Restored {
		f.recordRestore(read, previousLease)
	}
	cordonsChanged := f.replaceView(decoded, previousLease, read.Stale || read.Restored)
	if decoded.config != nil {
		f.installConfig(decoded.config, decoded.configRevision)
	}
	for _, zone := range cordonsChanged {
		event.Log(f.logger, event.ZoneCordoned{Zone: zone, Cordoned: slices.Contains(decoded.cordons, zone)})
	}
	event.Log(f.logger, event.StoreSnapshotRead{Leaves: len(decoded.leaves), Nodes: len(decoded.nodes), AfterGap: read.Gap, Stale: read.Stale})
	f.config.SetFresh(!read.Stale)
	if !read.Stale {
		f.metrics.storeUp.Set(1)
	}
}

// recordRestore prepares the node for the items of a restored store. They lack what was written
// after the backup, until it is written again.
func (f *follower) recordRestore(read mirror.ReadInfo, announcedLease uint64) {
	f.metrics.storeRestores.Inc()
	event.Log(f.logger, event.StoreRestored{
		FormerEra: read.From.Era, FormerRevision: read.From.Revision, Era: read.To.Era, Revision: read.To.Revision,
	})
	f.view.mutex.Lock()
	f.view.leaves.RecordOutage(f.clock.Now())
	f.view.mutex.Unlock()
	f.announcer.renew(announcedLease)
}

// replaceView applies a full read to the view and publishes it. A read that is incomplete may lack
// cordons that are in force. It returns the zones that were cordoned or uncordoned.
func (f *follower) replaceView(decoded decodedItems, previousLease uint64, incomplete bool) (cordonsChanged []string) {
	f.view.mutex.Lock()
	defer f.view.mutex.Unlock()
	f.view.leaves.Replace(f.clock.Now(), decoded.leaves)
	cordonsChanged = f.view.leaves.ReplaceCordons(f.clock.Now(), decoded.cordons, incomplete)
	f.rollouts.replace(decoded.rollouts)
	if !f.view.leavesLoaded {
		f.announcer.start(previousLease)
	}
	f.view.leavesLoaded = true
	f.view.nodes.Replace(f.clock.Now(), decoded.nodes)
	if decoded.config != nil {
		f.view.applyServices(decoded.config)
	}
	f.publisher.publishLocked()
	return cordonsChanged
}

// Apply implements mirror.Sink. If the configuration is removed from the store, the last one stays
// in force.
func (f *follower) Apply(events []mirror.Event) {
	republish := false
	for _, change := range events {
		switch f.decoder.Kind(change.Key) {
		case KindConfig:
			if !change.Removed {
				f.applyConfig(change.Item)
			}
		case KindLeaf:
			f.applyLeafEvent(change)
			republish = true
		case KindNode:
			f.applyNodeEvent(change)
			republish = true
		case KindCordon:
			f.applyCordonEvent(change)
			republish = true
		case KindRolloutOrder:
			republish = f.rollouts.applyOrderEvent(change) || republish
		case KindRolloutRecord:
			republish = f.rollouts.applyRecordEvent(change) || republish
		case KindQuarantine:
			f.applyQuarantineEvent(change)
		}
	}
	f.config.SetFresh(true)
	if republish {
		f.publisher.publish()
	}
}

// Disconnected implements mirror.Sink.
func (f *follower) Disconnected(err error) {
	f.config.SetFresh(false)
	f.config.SetOutage(true)
	f.quarantine.setStoreUnavailable(true)
	f.metrics.storeUp.Set(0)
	event.Log(f.logger, event.StoreLost{Error: err})
}

// Reconnected implements mirror.Sink.
func (f *follower) Reconnected(outage time.Duration) {
	f.view.mutex.Lock()
	f.view.leaves.RecordOutage(f.clock.Now())
	f.view.mutex.Unlock()
	f.config.SetOutage(false)
	f.quarantine.setStoreUnavailable(false)
	f.metrics.storeUp.Set(1)
	event.Log(f.logger, event.StoreRegained{Outage: outage})
}

// planStart implements mirror.Planner.
func (f *follower) planStart(items []mirror.Item) startup.Plan {
	nodes := roster.New(nodeRetention, 0)
	for _, item := range items {
		if member, ok := f.decodeMember(item); ok {
			nodes.Add(f.clock.Now(), item.Key, member)
		}
	}
	return startup.NewPlan(f.self.Peer, nodes.Members(f.clock.Now()), f.seeds, rand.Shuffle)
}
