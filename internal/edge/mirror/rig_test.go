package mirror

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
)

// memoryStore is a Source over a list of events; it can be down, and forget.
type memoryStore struct {
	mutex   sync.Mutex
	events  []Event
	forgot  uint64 // the history up to here is gone
	down    bool
	ranges  int
	watches int
	waits   []time.Duration
}

func (m *memoryStore) put(key string) { m.add(Event{Item: Item{Key: key}}) }

func (m *memoryStore) remove(key string) { m.add(Event{Item: Item{Key: key}, Removed: true}) }

func (m *memoryStore) add(event Event) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	event.Revision = uint64(len(m.events) + 1)
	m.events = append(m.events, event)
}

func (m *memoryStore) setDown(down bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.down = down
}

// forget drops the history.
func (m *memoryStore) forget() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.forgot = uint64(len(m.events))
}

// items returns what there is, by key.
func (m *memoryStore) items() []Item {
	var now contents
	now.replace(nil, 0)
	now.apply(m.events, uint64(len(m.events)))
	return now.list()
}

func (m *memoryStore) Range(context.Context, string) ([]Item, uint64, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ranges++
	if m.down {
		return nil, 0, errAway
	}
	return m.items(), uint64(len(m.events)), nil
}

// Peek returns items of some time ago.
func (m *memoryStore) Peek(_ context.Context, prefix string) ([]Item, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return nil, errAway
	}
	var found []Item
	for _, item := range m.items() {
		if strings.HasPrefix(item.Key, prefix) {
			found = append(found, item)
		}
	}
	return found, nil
}

// Watch returns at once, also without changes.
func (m *memoryStore) Watch(_ context.Context, _ string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.watches++
	m.waits = append(m.waits, wait)
	if m.down {
		return nil, 0, errAway
	}
	if after < m.forgot {
		return nil, 0, ErrCompacted
	}
	return m.events[after:], uint64(len(m.events)), nil
}

// linked asks watchers in the same process; one that is cut off does not answer.
type linked struct {
	mutex    sync.Mutex
	watchers map[netip.AddrPort]*Shared
	cut      map[netip.AddrPort]bool
}

// set puts a watcher at an address. A question of a start that has ended may
// still be under way.
func (l *linked) set(address netip.AddrPort, watcher *Shared) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.watchers[address] = watcher
}

// at returns the watcher at an address.
func (l *linked) at(address netip.AddrPort) *Shared {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.watchers[address]
}

func (l *linked) setCut(address netip.AddrPort, cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut[address] = cut
}

func (l *linked) isCut(address netip.AddrPort) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cut[address]
}

var errCut = errors.New("cut off")

func (l *linked) Watch(ctx context.Context, to netip.AddrPort, after uint64, _ time.Duration) (Watched, error) {
	if l.isCut(to) {
		return Watched{}, errCut
	}
	return l.at(to).Serve(ctx, after, 0)
}

func (l *linked) Offer(ctx context.Context, source netip.AddrPort, wait time.Duration) (Offer, error) {
	if l.isCut(source) {
		return Offer{}, errCut
	}
	return l.at(source).Offer(ctx, wait), nil
}

func (l *linked) Snapshot(_ context.Context, source netip.AddrPort) (Snapshot, error) {
	if l.isCut(source) {
		return Snapshot{}, errCut
	}
	return l.at(source).Snapshot()
}

// pair is a watcher and a node that asks it.
type pair struct {
	*testing.T
	store    *memoryStore
	peers    *linked
	address  netip.AddrPort
	watcher  *Shared
	follower *Shared
	revision uint64 // that the follower has
	watched  uint64 // that the watcher has
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{
		T: t, store: &memoryStore{}, address: netip.MustParseAddrPort("127.0.0.1:1"),
		peers: &linked{watchers: make(map[netip.AddrPort]*Shared), cut: make(map[netip.AddrPort]bool)},
	}
	config := DefaultSharedConfig()
	config.Pause = 0
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

// watch lets the watcher watch the store once.
func (p *pair) watch() error {
	_, revision, err := p.watcher.Watch(p.Context(), "", p.watched, time.Minute)
	p.watched = max(p.watched, revision)
	return err
}

// follow lets the follower ask once, and returns what it got and the calls to
// the store that this took.
func (p *pair) follow() (events []Event, calls int, err error) {
	before := p.store.watches
	events, revision, err := p.follower.Watch(p.Context(), "", p.revision, time.Minute)
	if err == nil {
		p.revision = revision
	}
	return events, p.store.watches - before, err
}

func (p *pair) wantFollow(events, calls int, failure error) {
	p.Helper()
	got, made, err := p.follow()
	if len(got) != events || made != calls || !errors.Is(err, failure) {
		p.Errorf("%d events, %d calls to the store, %v; want %d, %d, %v", len(got), made, err, events, calls, failure)
	}
}
