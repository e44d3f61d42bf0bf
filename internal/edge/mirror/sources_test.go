package mirror

import (
	"errors"
	"log/slog"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/startup"
	"github.com/micaplank/micaplank/internal/position"
)

// testFleet is a store and nodes that ask each other.
type testFleet struct {
	*testing.T
	store        *memoryStore
	peers        *localPeers
	seeds        []netip.AddrPort
	addressCount int
	// sourcesTimeout is the SourcesTimeout of the nodes. It is long where a source has a copy, and
	// short where no source will ever have one.
	sourcesTimeout time.Duration
}

func newTestFleet(t *testing.T, seeds int) *testFleet {
	f := &testFleet{
		T: t, store: &memoryStore{},
		peers:          &localPeers{watchers: make(map[netip.AddrPort]*Shared), unreachable: make(map[netip.AddrPort]bool)},
		sourcesTimeout: time.Minute,
	}
	for range seeds {
		f.seeds = append(f.seeds, f.nextAddress())
		f.peers.setUnreachable(f.seeds[len(f.seeds)-1], true) // the seed does not run yet
	}
	return f
}

func (f *testFleet) nextAddress() netip.AddrPort {
	f.addressCount++
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(f.addressCount))
}

// config returns a config with short times, because all nodes are in the same process.
func (f *testFleet) config() SharedConfig {
	config := DefaultSharedConfig()
	config.StartSpread = 100 * time.Microsecond
	config.SourceStagger = 100 * time.Microsecond
	config.OfferTimeout = 100 * time.Microsecond
	config.OfferRetryDelay = 100 * time.Microsecond
	config.SourcesTimeout = f.sourcesTimeout
	config.WatcherBackoff = 0
	return config
}

// startSeed makes the seed at an index reachable. Its plan names the other seeds as sources.
func (f *testFleet) startSeed(index int) *Shared {
	node := NewShared(f.config(), f.store, f.peers, clock.NewMonotonic(), slog.New(slog.DiscardHandler))
	var others []netip.AddrPort
	for position, seed := range f.seeds {
		if position != index {
			others = append(others, seed)
		}
	}
	node.SetPlanner("", func([]Item) startup.Plan { return startup.Plan{IsSource: true, Sources: others} })
	f.peers.set(f.seeds[index], node)
	f.peers.setUnreachable(f.seeds[index], false)
	return node
}

// newNode returns a node that is not a seed.
func (f *testFleet) newNode() *Shared {
	node := NewShared(f.config(), f.store, f.peers, clock.NewMonotonic(), slog.New(slog.DiscardHandler))
	node.SetPlanner("", func([]Item) startup.Plan { return startup.Plan{Sources: f.seeds} })
	return node
}

// load makes a node load its items for the first time, and checks them against those in the store.
func (f *testFleet) load(node *Shared, wantErr error) position.Position {
	f.Helper()
	items, revision, err := node.Range(f.Context(), "")
	if !errors.Is(err, wantErr) {
		f.Fatalf("got %v, want %v", err, wantErr)
	}
	if want := f.store.items(); (err == nil || errors.Is(err, ErrStale)) && !reflect.DeepEqual(items, want) {
		f.Fatalf("items %v, want %v", items, want)
	}
	return revision
}

func (f *testFleet) wantRanges(want int) {
	f.Helper()
	if f.store.ranges != want {
		f.Errorf("the store was read %d times, want %d", f.store.ranges, want)
	}
}

// TestStartCopiesFromSource checks that a node that starts reads its items from a source instead of
// the store, and continues from the revision of the copy.
func TestStartCopiesFromSource(t *testing.T) {
	f := newTestFleet(t, 2)
	f.store.put("a")
	f.store.put("b")
	seed := f.startSeed(0)
	f.load(seed, nil)
	node := f.newNode()
	revision := f.load(node, nil)
	f.wantRanges(1)
	f.store.put("c")
	if _, _, err := seed.Watch(t.Context(), "", revision, 0); err != nil {
		t.Fatal(err)
	}
	watchesBefore := f.store.watches
	events, _, err := node.Watch(t.Context(), "", revision, 0)
	if err != nil || len(events) != 1 || f.store.watches != watchesBefore {
		t.Errorf("events %v, error %v, %d calls to the store; want 1 event and no call", events, err, f.store.watches-watchesBefore)
	}
}

// TestStartWithoutSourceReadsStore checks that a node reads the store if all seeds are unreachable
// or have no copy.
func TestStartWithoutSourceReadsStore(t *testing.T) {
	f := newTestFleet(t, 2)
	f.store.put("a")
	f.load(f.newNode(), nil)
	f.sourcesTimeout = time.Millisecond
	f.startSeed(0)
	f.load(f.newNode(), nil)
	f.wantRanges(2)
}

// TestSimultaneousSourcesDoNotAwaitEachOther checks that sources that start at the same time do not
// wait for each other.
func TestSimultaneousSourcesDoNotAwaitEachOther(t *testing.T) {
	f := newTestFleet(t, 3)
	f.store.put("a")
	for index := range f.seeds {
		f.startSeed(index)
	}
	for _, address := range f.seeds {
		f.load(f.peers.at(address), nil)
	}
	f.wantRanges(3)
}

// TestPlannerReceivesAnnouncedNodes checks that the plan is made from the announced nodes, or from
// nil if the store is down.
func TestPlannerReceivesAnnouncedNodes(t *testing.T) {
	f := newTestFleet(t, 1)
	f.store.put("nodes/a")
	f.store.put("other")
	f.load(f.startSeed(0), nil)
	node := f.newNode()
	var announced []Item
	node.SetPlanner("nodes/", func(nodes []Item) startup.Plan { announced = nodes; return startup.Plan{} })
	f.load(node, nil)
	if len(announced) != 1 || announced[0].Key != "nodes/a" {
		t.Errorf("announced nodes %v, want only nodes/a", announced)
	}
	f.wantRanges(2)
	f.store.setDown(true)
	other := f.newNode()
	other.SetPlanner("nodes/", func(nodes []Item) startup.Plan { announced = nodes; return startup.Plan{Sources: f.seeds} })
	f.load(other, nil)
	if announced != nil {
		t.Errorf("announced nodes %v while the store is down, want nil", announced)
	}
}

// TestStartDuringStoreOutageUsesStaleCopy checks that a node that starts during an outage of the
// store adopts the copy of a source, and marks it as stale.
func TestStartDuringStoreOutageUsesStaleCopy(t *testing.T) {
	f := newTestFleet(t, 2)
	f.store.put("a")
	seed := f.startSeed(0)
	revision := f.load(seed, nil)
	f.store.setDown(true)
	if _, _, err := seed.Watch(t.Context(), "", revision, 0); err == nil {
		t.Fatal("watch of a store that is down: got no error")
	}
	f.load(f.startSeed(1), ErrStale)
	node := f.newNode()
	if got := f.load(node, ErrStale); got != revision {
		t.Errorf("position %v, want %v", got, revision)
	}
	if offer := node.Offer(t.Context(), 0); offer.State != OfferDisconnected {
		t.Errorf("node offers a copy in state %s, want %s", offer.State, OfferDisconnected)
	}
}

// TestOldCopyIsNotCurrent checks that the copy of a source that was paused for a while does not
// count as current. When the source resumes, it has not noticed the pause yet.
func TestOldCopyIsNotCurrent(t *testing.T) {
	f := newTestFleet(t, 1)
	f.store.put("a")
	seed := f.startSeed(0)
	f.load(seed, nil)
	f.store.put("b")
	seed.lastContactAt -= time.Minute
	f.load(f.newNode(), nil)
	f.wantRanges(2)
}

// suspendableClock is a running Clock to which a test can add suspensions.
type suspendableClock struct {
	clock.Clock
	suspension time.Duration
}

func (s *suspendableClock) Now() time.Duration { return s.Clock.Now() + s.suspension }

// TestCopyOfSuspendedMachineIsNotCurrent checks that a node does not offer its copy as current
// after a suspension, during which it received no changes, even before its first call to the store.
func TestCopyOfSuspendedMachineIsNotCurrent(t *testing.T) {
	f := newTestFleet(t, 1)
	f.store.put("a")
	seed := f.startSeed(0)
	suspendable := &suspendableClock{Clock: seed.clock}
	seed.clock = suspendable
	f.load(seed, nil)
	if offer := seed.Offer(t.Context(), 0); offer.State != OfferCurrent {
		t.Fatalf("seed offers a copy in state %s, want %s", offer.State, OfferCurrent)
	}
	suspendable.suspension = time.Minute
	if offer := seed.Offer(t.Context(), 0); offer.State != OfferDisconnected {
		t.Errorf("seed offers a copy in state %s after a suspension, want %s", offer.State, OfferDisconnected)
	}
}
