package mirror

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

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

func TestChangesComeFromTheWatcher(t *testing.T) {
	p := newPair(t)
	p.store.put("a")
	p.wantFollow(0, 0, nil) // the watcher has not heard of it
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
	p.wantFollow(0, 0, nil)
}

// TestWatcherWaitsShortly, since others rely on its noticing an outage.
func TestWatcherWaitsShortly(t *testing.T) {
	p := newPair(t)
	if wait := p.store.waits[len(p.store.waits)-1]; wait != DefaultSharedConfig().Wait {
		t.Errorf("watches for %v", wait)
	}
	p.follower.SetWatchers(false, nil)
	p.wantFollow(0, 1, nil)
	if wait := p.store.waits[len(p.store.waits)-1]; wait != time.Minute {
		t.Errorf("a node that nobody asks watches for %v", wait)
	}
}

// TestFollowerTurnsToTheStore when the watcher is cut off, is no watcher, or
// lacks history.
func TestFollowerTurnsToTheStore(t *testing.T) {
	p := newPair(t)
	p.store.put("a")
	p.peers.setCut(p.address, true)
	p.wantFollow(1, 1, nil)
	p.peers.setCut(p.address, false)
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(0, 0, nil)
	p.store.put("b")
	p.watcher.SetWatchers(false, nil)
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 1, nil)
	p.watcher.SetWatchers(true, nil)
	p.watcher.history.begin(2)
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.revision = 1 // the history of the watcher begins later
	p.wantFollow(1, 1, nil)
}

// TestFollowerTurnsToAnotherWatcher first, if there is time.
func TestFollowerTurnsToAnotherWatcher(t *testing.T) {
	p := newPair(t)
	gone := netip.MustParseAddrPort("127.0.0.1:2")
	p.peers.setCut(gone, true)
	p.follower.SetWatchers(false, []netip.AddrPort{gone, p.address})
	p.store.put("a")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
	p.follower.config.Slack = 0 // there is none once the first one has failed
	p.wantFollow(0, 1, nil)
}

// TestOutageIsSeenThroughTheWatcher, so that the follower judges what vanishes
// around it as it would if it had met it itself.
func TestOutageIsSeenThroughTheWatcher(t *testing.T) {
	p := newPair(t)
	p.store.setDown(true)
	if err := p.watch(); err == nil {
		t.Fatal("watched a store that is down")
	}
	p.wantFollow(0, 0, ErrWatcherLost)
	p.store.setDown(false)
	p.store.put("a")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
}

// TestOutageIsNotProbedByEveryNodeAtOnce: a node whose watchers have lost the store
// asks it from time to time, and goes on with it if it answers.
func TestOutageIsNotProbedByEveryNodeAtOnce(t *testing.T) {
	p := newPair(t)
	p.follower.config.Pause = time.Hour
	p.store.setDown(true)
	_ = p.watch()
	for range 20 {
		p.wantFollow(0, 0, ErrWatcherLost)
	}
	p.follower.probeAt = time.Now()
	p.wantFollow(0, 1, errAway)
	p.wantFollow(0, 0, ErrWatcherLost)
	p.store.setDown(false) // for the follower; the watcher has not noticed
	p.store.put("a")
	p.follower.probeAt = time.Now()
	p.wantFollow(1, 1, nil)
	p.store.put("b")
	p.wantFollow(1, 1, nil)
	p.store.put("c")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
}

// TestServeWakesUp when there is a change, or the store is lost.
func TestServeWakesUp(t *testing.T) {
	for name, happen := range map[string]func(p *pair){
		"change": func(p *pair) { p.store.put("a") },
		"outage": func(p *pair) { p.store.setDown(true) },
	} {
		p := newPair(t)
		answers := make(chan Watched)
		go func() { answers <- p.watcher.await(t.Context(), 0, time.Hour) }()
		happen(p)
		_ = p.watch()
		answer := <-answers
		if got := fmt.Sprint(answer.State, len(answer.Events)); got != map[string]string{"change": "current1", "outage": "lost0"}[name] {
			t.Errorf("%s: %s", name, got)
		}
	}
}

// TestFollowerMissesNothing plays random changes, outages, cuts, changes of
// watchers and lost histories: the follower gets every change once, in order.
func TestFollowerMissesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPair(t)
		p.watcher.history.most = 3
		var got []uint64
		rt.Repeat(map[string]func(*rapid.T){
			"change":  func(*rapid.T) { p.store.put(fmt.Sprint("k", len(p.store.events))) },
			"outage":  func(rt *rapid.T) { p.store.setDown(rapid.Bool().Draw(rt, "down")) },
			"cut":     func(rt *rapid.T) { p.peers.setCut(p.address, rapid.Bool().Draw(rt, "cut")) },
			"watcher": func(rt *rapid.T) { p.watcher.SetWatchers(rapid.Bool().Draw(rt, "watching"), nil) },
			"watch":   func(*rapid.T) { _ = p.watch() },
			"range": func(*rapid.T) {
				if _, revision, err := p.watcher.Range(t.Context(), ""); err == nil {
					p.watched = revision
				}
			},
			"follow": func(*rapid.T) {
				events, _, _ := p.follow()
				for _, event := range events {
					got = append(got, event.Revision)
				}
			},
			"": func(rt *rapid.T) {
				for index, revision := range got {
					if revision != uint64(index+1) {
						rt.Fatalf("got %v", got)
					}
				}
				if p.revision != uint64(len(got)) {
					rt.Fatalf("at revision %d with %v", p.revision, got)
				}
			},
		})
	})
}

// TestFollowerThatKnowsMoreThanTheWatcherAsksElsewhere: a watcher that comes back
// from an outage has old changes to take in, and tells of no new ones meanwhile.
func TestFollowerThatKnowsMoreThanTheWatcherAsksElsewhere(t *testing.T) {
	p := newPair(t)
	p.store.put("a")
	p.follower.SetWatchers(false, nil)
	p.wantFollow(1, 1, nil) // of the store
	p.follower.SetWatchers(false, []netip.AddrPort{p.address})
	p.store.put("b")
	p.wantFollow(1, 1, nil)
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(0, 0, nil)
}
