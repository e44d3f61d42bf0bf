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
)

// fleet is a store and some nodes that ask each other.
type fleet struct {
	*testing.T
	store *memoryStore
	peers *linked
	seeds []netip.AddrPort
	made  int
	// patience is that of the nodes. It is long where a source has a copy, and
	// short where none will ever have one.
	patience time.Duration
}

func newFleet(t *testing.T, seeds int) *fleet {
	f := &fleet{
		T: t, store: &memoryStore{},
		peers:    &linked{watchers: make(map[netip.AddrPort]*Shared), cut: make(map[netip.AddrPort]bool)},
		patience: time.Minute,
	}
	for range seeds {
		f.seeds = append(f.seeds, f.address())
		f.peers.setCut(f.seeds[len(f.seeds)-1], true) // it does not run yet
	}
	return f
}

func (f *fleet) address() netip.AddrPort {
	f.made++
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(f.made))
}

// config has short times, since nothing here is far away.
func (f *fleet) config() SharedConfig {
	config := DefaultSharedConfig()
	config.StartSpread = 100 * time.Microsecond
	config.Stagger = 100 * time.Microsecond
	config.OfferWait = 100 * time.Microsecond
	config.OfferPause = 100 * time.Microsecond
	config.SourcesTimeout = f.patience
	config.Pause = 0
	return config
}

// seed starts a seed.
func (f *fleet) seed(index int) *Shared {
	node := NewShared(f.config(), f.store, f.peers, clock.NewMonotonic(), slog.New(slog.DiscardHandler))
	var others []netip.AddrPort
	for position, seed := range f.seeds {
		if position != index {
			others = append(others, seed)
		}
	}
	node.SetPlanner("", func([]Item) startup.Plan { return startup.Plan{Source: true, Others: others} })
	f.peers.set(f.seeds[index], node)
	f.peers.setCut(f.seeds[index], false)
	return node
}

// node starts a node that is no seed.
func (f *fleet) node() *Shared {
	node := NewShared(f.config(), f.store, f.peers, clock.NewMonotonic(), slog.New(slog.DiscardHandler))
	node.SetPlanner("", func([]Item) startup.Plan { return startup.Plan{Others: f.seeds} })
	return node
}

// load reads the store for the first time, and wants the items that there are.
func (f *fleet) load(node *Shared, failure error) uint64 {
	f.Helper()
	items, revision, err := node.Range(f.Context(), "")
	if !errors.Is(err, failure) {
		f.Fatalf("got %v, want %v", err, failure)
	}
	if want := f.store.items(); (err == nil || errors.Is(err, ErrStale)) && !reflect.DeepEqual(items, want) {
		f.Fatalf("items %v, want %v", items, want)
	}
	return revision
}

func (f *fleet) wantRanges(want int) {
	f.Helper()
	if f.store.ranges != want {
		f.Errorf("the store was read %d times, want %d", f.store.ranges, want)
	}
}

// TestStartReadsFromASource, and not from the store, and goes on from there.
func TestStartReadsFromASource(t *testing.T) {
	f := newFleet(t, 2)
	f.store.put("a")
	f.store.put("b")
	seed := f.seed(0)
	f.load(seed, nil)
	node := f.node()
	revision := f.load(node, nil)
	f.wantRanges(1)
	f.store.put("c")
	if _, _, err := seed.Watch(t.Context(), "", revision, 0); err != nil {
		t.Fatal(err)
	}
	before := f.store.watches
	events, _, err := node.Watch(t.Context(), "", revision, 0)
	if err != nil || len(events) != 1 || f.store.watches != before {
		t.Errorf("%v, %v, %d calls", events, err, f.store.watches-before)
	}
}

// TestStartWithoutAnySource reads the store: all seeds are cut off, or they
// have no copy.
func TestStartWithoutAnySource(t *testing.T) {
	f := newFleet(t, 2)
	f.store.put("a")
	f.load(f.node(), nil)
	f.patience = time.Millisecond
	f.seed(0)
	f.load(f.node(), nil)
	f.wantRanges(2)
}

// TestSourcesDoNotWaitForEachOther when all of them start at once.
func TestSourcesDoNotWaitForEachOther(t *testing.T) {
	f := newFleet(t, 3)
	f.store.put("a")
	for index := range f.seeds {
		f.seed(index)
	}
	for _, address := range f.seeds {
		f.load(f.peers.at(address), nil)
	}
	f.wantRanges(3)
}

// TestPlanIsMadeFromTheNodes that are announced, if the store tells them.
func TestPlanIsMadeFromTheNodes(t *testing.T) {
	f := newFleet(t, 1)
	f.store.put("nodes/a")
	f.store.put("other")
	f.load(f.seed(0), nil)
	node := f.node()
	var announced []Item
	node.SetPlanner("nodes/", func(nodes []Item) startup.Plan { announced = nodes; return startup.Plan{} })
	f.load(node, nil)
	if len(announced) != 1 || announced[0].Key != "nodes/a" {
		t.Errorf("announced: %v", announced)
	}
	f.wantRanges(2)
	f.store.setDown(true)
	other := f.node()
	other.SetPlanner("nodes/", func(nodes []Item) startup.Plan { announced = nodes; return startup.Plan{Others: f.seeds} })
	f.load(other, nil)
	if announced != nil {
		t.Errorf("announced: %v by a store that is down", announced)
	}
}

// TestStartInAnOutageOfTheStore takes the copy of a source that has lost the
// store, and says so.
func TestStartInAnOutageOfTheStore(t *testing.T) {
	f := newFleet(t, 2)
	f.store.put("a")
	seed := f.seed(0)
	revision := f.load(seed, nil)
	f.store.setDown(true)
	if _, _, err := seed.Watch(t.Context(), "", revision, 0); err == nil {
		t.Fatal("watched a store that is down")
	}
	f.load(f.seed(1), ErrStale)
	node := f.node()
	if got := f.load(node, ErrStale); got != revision {
		t.Errorf("revision %d, want %d", got, revision)
	}
	if offer := node.Offer(t.Context(), 0); offer.State != OfferLost {
		t.Errorf("offers a copy that is %s", offer.State)
	}
}

// TestOldCopyDoesNotCountAsCurrent: a source that stood still for a while has
// not noticed anything yet when it goes on.
func TestOldCopyDoesNotCountAsCurrent(t *testing.T) {
	f := newFleet(t, 1)
	f.store.put("a")
	seed := f.seed(0)
	f.load(seed, nil)
	f.store.put("b")
	seed.heardAt -= time.Minute
	f.load(f.node(), nil)
	f.wantRanges(2)
}

// suspended is a Clock that runs and counts suspensions.
type suspended struct {
	clock.Clock
	length time.Duration
}

func (s *suspended) Now() time.Duration { return s.Clock.Now() + s.length }

// TestCopyOfASuspendedMachineDoesNotCountAsCurrent: it has heard nothing meanwhile, and
// knows it before its first call.
func TestCopyOfASuspendedMachineDoesNotCountAsCurrent(t *testing.T) {
	f := newFleet(t, 1)
	f.store.put("a")
	seed := f.seed(0)
	machine := &suspended{Clock: seed.clock}
	seed.clock = machine
	f.load(seed, nil)
	if offer := seed.Offer(t.Context(), 0); offer.State != OfferCurrent {
		t.Fatalf("offers a copy that is %s", offer.State)
	}
	machine.length = time.Minute
	if offer := seed.Offer(t.Context(), 0); offer.State != OfferLost {
		t.Errorf("offers a copy that is %s after a minute", offer.State)
	}
}
