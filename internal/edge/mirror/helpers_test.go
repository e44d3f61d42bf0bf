package mirror

import (
	"context"
	"errors"
	"github.com/micaplank/micaplank/internal/position"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
)

// memoryStore is a Source over a list of events. It can be down, and compact its history.
type memoryStore struct {
	mutex             sync.Mutex
	era               uint64  // rises with each restore
	events            []Event // of this era, and those that the backup holds
	compactedRevision uint64  // the history up to this revision is compacted
	down              bool
	ranges            int
	watches           int
	waits             []time.Duration
}

func (m *memoryStore) put(key string) { m.add(Event{Item: Item{Key: key}}) }

func (m *memoryStore) remove(key string) { m.add(Event{Item: Item{Key: key}, Removed: true}) }

func (m *memoryStore) add(event Event) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	event.Revision = uint64(len(m.events) + 1)
	m.events = append(m.events, event)
}

// restore drops the latest changes, as a restore from a backup does. The history begins anew.
func (m *memoryStore) restore(lost int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.events = slices.Clip(m.events[:max(len(m.events)-lost, 0)])
	m.compactedRevision = uint64(len(m.events))
	m.era++
}

// position returns the position of the latest change.
func (m *memoryStore) position() position.Position {
	return position.Position{Era: m.era, Revision: uint64(len(m.events))}
}

// at returns a position in a store that was never restored.
func at(revision uint64) position.Position { return position.Position{Revision: revision} }

func (m *memoryStore) setDown(down bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.down = down
}

// compact drops the history.
func (m *memoryStore) compact() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.compactedRevision = uint64(len(m.events))
}

// items returns the current items in the order of their keys.
func (m *memoryStore) items() []Item {
	var current replica
	current.replace(nil, position.Position{})
	current.apply(m.eventsAfter(0), m.position())
	return current.list()
}

// eventsAfter returns the changes after a revision, with the era of the store.
func (m *memoryStore) eventsAfter(revision uint64) []Event {
	events := slices.Clone(m.events[revision:])
	for index := range events {
		events[index].Era = m.era
	}
	return events
}

func (m *memoryStore) Range(context.Context, string) ([]Item, position.Position, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ranges++
	if m.down {
		return nil, position.Position{}, errStoreDown
	}
	return m.items(), m.position(), nil
}

// Peek returns the current items.
func (m *memoryStore) Peek(_ context.Context, prefix string) ([]Item, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return nil, errStoreDown
	}
	var matching []Item
	for _, item := range m.items() {
		if strings.HasPrefix(item.Key, prefix) {
			matching = append(matching, item)
		}
	}
	return matching, nil
}

// Watch returns immediately, also without changes.
func (m *memoryStore) Watch(_ context.Context, _ string, after position.Position, wait time.Duration) ([]Event, position.Position, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.watches++
	m.waits = append(m.waits, wait)
	if m.down {
		return nil, after, errStoreDown
	}
	switch {
	case after.Era != m.era:
		return nil, after, ErrRestored
	case after.Revision < m.compactedRevision:
		return nil, after, ErrCompacted
	}
	return m.eventsAfter(after.Revision), m.position(), nil
}

// localPeers calls nodes in the same process. An unreachable node does not respond.
type localPeers struct {
	mutex       sync.Mutex
	watchers    map[netip.AddrPort]*Shared
	unreachable map[netip.AddrPort]bool
}

// set places a node at an address. A request of an earlier incarnation of the node may still be in
// flight.
func (p *localPeers) set(address netip.AddrPort, watcher *Shared) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.watchers[address] = watcher
}

// at returns the node at an address.
func (p *localPeers) at(address netip.AddrPort) *Shared {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.watchers[address]
}

func (p *localPeers) setUnreachable(address netip.AddrPort, unreachable bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unreachable[address] = unreachable
}

func (p *localPeers) isUnreachable(address netip.AddrPort) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.unreachable[address]
}

var errUnreachable = errors.New("node is unreachable")

func (p *localPeers) Watch(ctx context.Context, to netip.AddrPort, after position.Position, _ time.Duration) (WatchResponse, error) {
	if p.isUnreachable(to) {
		return WatchResponse{}, errUnreachable
	}
	return p.at(to).Serve(ctx, after, 0)
}

func (p *localPeers) Offer(ctx context.Context, source netip.AddrPort, wait time.Duration) (Offer, error) {
	if p.isUnreachable(source) {
		return Offer{}, errUnreachable
	}
	return p.at(source).Offer(ctx, wait), nil
}

func (p *localPeers) Snapshot(_ context.Context, source netip.AddrPort) (Snapshot, error) {
	if p.isUnreachable(source) {
		return Snapshot{}, errUnreachable
	}
	return p.at(source).Snapshot()
}

// watcherPair is a watcher and a follower that asks it.
type watcherPair struct {
	*testing.T
	store            *memoryStore
	peers            *localPeers
	address          netip.AddrPort
	watcher          *Shared
	follower         *Shared
	followerPosition position.Position
	watcherPosition  position.Position
}

func newWatcherPair(t *testing.T) *watcherPair {
	t.Helper()
	p := &watcherPair{
		T: t, store: &memoryStore{}, address: netip.MustParseAddrPort("127.0.0.1:1"),
		peers: &localPeers{watchers: make(map[netip.AddrPort]*Shared), unreachable: make(map[netip.AddrPort]bool)},
	}
	config := DefaultSharedConfig()
	config.WatcherBackoff = 0
	logger := slog.New(slog.DiscardHandler)
	p.watcher, p.follower = NewShared(config, p.store, p.peers, clock.NewMonotonic(), logger), NewShared(config, p.store, p.peers, clock.NewMonotonic(), logger)
	p.peers.set(p.address, p.watcher)
	p.watcher.SetWatchers(true, nil)
	p.follower.SetWatchers(false, []netip.AddrPort{p.address})
	for _, node := range []*Shared{p.watcher, p.follower} {
		if _, _, err := node.Range(t.Context(), ""); err != nil {
			t.Fatal(err)
		}
	}
	p.watch()
	return p
}

// watch makes the watcher watch the store once.
func (p *watcherPair) watch() error {
	_, reached, err := p.watcher.Watch(p.Context(), "", p.watcherPosition, time.Minute)
	p.watcherPosition = position.Max(p.watcherPosition, reached)
	return err
}

// follow makes the follower ask for changes once. It returns the events and the number of calls to
// the store that this took.
func (p *watcherPair) follow() (events []Event, calls int, err error) {
	watchesBefore := p.store.watches
	events, reached, err := p.follower.Watch(p.Context(), "", p.followerPosition, time.Minute)
	if err == nil {
		p.followerPosition = reached
	}
	return events, p.store.watches - watchesBefore, err
}

func (p *watcherPair) wantFollow(wantEvents, wantCalls int, wantErr error) {
	p.Helper()
	gotEvents, gotCalls, err := p.follow()
	if len(gotEvents) != wantEvents || gotCalls != wantCalls || !errors.Is(err, wantErr) {
		p.Errorf("%d events, %d calls to the store, error %v; want %d, %d, %v", len(gotEvents), gotCalls, err, wantEvents, wantCalls, wantErr)
	}
}
