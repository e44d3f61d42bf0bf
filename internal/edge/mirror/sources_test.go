package mirror

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/clock"
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
	config.Patience = f.patience
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
	node.SetPlanner("", func([]Item) Plan { return Plan{Source: true, Others: others} })
	f.peers.set(f.seeds[index], node)
	f.peers.setCut(f.seeds[index], false)
	return node
}

// node starts a node that is no seed.
func (f *fleet) node() *Shared {
	node := NewShared(f.config(), f.store, f.peers, clock.NewMonotonic(), slog.New(slog.DiscardHandler))
	node.SetPlanner("", func([]Item) Plan { return Plan{Others: f.seeds} })
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
	var told []Item
	node.SetPlanner("nodes/", func(nodes []Item) Plan { told = nodes; return Plan{} })
	f.load(node, nil)
	if len(told) != 1 || told[0].Key != "nodes/a" {
		t.Errorf("told of %v", told)
	}
	f.wantRanges(2)
	f.store.setDown(true)
	other := f.node()
	other.SetPlanner("nodes/", func(nodes []Item) Plan { told = nodes; return Plan{Others: f.seeds} })
	f.load(other, nil)
	if told != nil {
		t.Errorf("told of %v by a store that is down", told)
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

// TestFollowersHearWhatAnExpiredHistoryHid, without a call to the store of their
// own: the watcher compares what it reads with what it knew.
func TestFollowersHearWhatAnExpiredHistoryHid(t *testing.T) {
	p := newPair(t)
	p.store.put("a")
	p.store.put("b")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(2, 0, nil)
	p.store.remove("a")
	p.store.put("b")
	p.store.put("c")
	p.store.forget()
	if err := p.watch(); !errors.Is(err, ErrCompacted) {
		t.Fatal(err)
	}
	p.wantFollow(0, 0, nil) // it waits for the watcher
	if _, _, err := p.watcher.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(3, 0, nil)
	if got, want := p.follower.contents.list(), p.store.items(); !reflect.DeepEqual(got, want) {
		t.Errorf("the follower knows %v, want %v", got, want)
	}
}

// TestFollowerThatKnowsMoreIsToldNoDifference: what it knows may have come and gone
// while the watcher knew nothing, who cannot tell it then.
func TestFollowerThatKnowsMoreIsToldNoDifference(t *testing.T) {
	p := newPair(t)
	p.store.put("a")
	if _, _, err := p.follower.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.revision = 1
	p.store.remove("a")
	p.store.forget()
	_ = p.watch()
	if _, _, err := p.watcher.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(0, 1, ErrCompacted) // it has to read the store itself
}

// TestFollowerThatBecomesAWatcherKeepsItsHistory, so that others need not turn to
// the store when the watchers change.
func TestFollowerThatBecomesAWatcherKeepsItsHistory(t *testing.T) {
	p := newPair(t)
	behind := p.revision
	p.store.put("a")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
	if answer := p.follower.await(t.Context(), behind, 0); answer.State != WatchRefused {
		t.Errorf("a follower answers %s", answer.State)
	}
	p.follower.SetWatchers(true, nil)
	p.wantFollow(0, 1, nil)
	if answer := p.follower.await(t.Context(), behind, 0); answer.State != WatchCurrent || len(answer.Events) != 1 {
		t.Errorf("a new watcher answers %s with %d events", answer.State, len(answer.Events))
	}
}

// TestLargeChangesArePacked for followers, once for all that ask alike.
func TestLargeChangesArePacked(t *testing.T) {
	p := newPair(t)
	p.store.add(Event{Item: Item{Key: "large", Value: make([]byte, 4*packFrom)}})
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	answer, err := p.watcher.Serve(t.Context(), p.revision, 0)
	if err != nil || len(answer.Events) != 0 || len(answer.Packed) == 0 || len(answer.Packed) > packFrom/4 {
		t.Fatalf("%d events, %d packed bytes, %v", len(answer.Events), len(answer.Packed), err)
	}
	if again, _ := p.watcher.Serve(t.Context(), p.revision, 0); &again.Packed[0] != &answer.Packed[0] {
		t.Error("packed anew")
	}
	p.wantFollow(1, 0, nil)
	p.store.put("small")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	if answer, err = p.watcher.Serve(t.Context(), p.revision, 0); err != nil || len(answer.Events) != 1 {
		t.Errorf("%d events, %v", len(answer.Events), err)
	}
}

// TestUnpackRefusesWhatIsTooLarge, or no pack at all.
func TestUnpackRefusesWhatIsTooLarge(t *testing.T) {
	packed, err := pack([]Item{{Key: "large", Value: make([]byte, maxUnpacked)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unpack[Item](packed); !errors.Is(err, errUnpacked) {
		t.Errorf("got %v", err)
	}
	if _, err := unpack[Item]([]byte("no pack")); err == nil {
		t.Error("read what was not packed")
	}
}

// TestStartsConverge plays changes, outages, lost histories, seeds that stop,
// start and stand still, and nodes that start: what a node knows never gets
// older, and all know the same once the store answers.
func TestStartsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, 3)
		f.patience = 5 * time.Millisecond
		f.store.put("first")
		nodes := make(map[*Shared]uint64) // with the revision that each has
		step := func(node *Shared) {
			revision, loaded := nodes[node]
			var got uint64
			var err error
			if loaded {
				_, got, err = node.Watch(t.Context(), "", revision, 0)
			}
			if !loaded || errors.Is(err, ErrCompacted) {
				_, got, err = node.Range(t.Context(), "")
			}
			if err != nil && !errors.Is(err, ErrStale) {
				return
			}
			if got < revision {
				rt.Fatalf("revision %d after %d", got, revision)
			}
			nodes[node] = got
		}
		all := func() {
			for _, address := range f.seeds {
				if node := f.peers.at(address); node != nil {
					step(node)
				}
			}
			for node := range nodes {
				step(node)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"put":    func(*rapid.T) { f.store.put(fmt.Sprint("k", len(f.store.events)%5)) },
			"remove": func(*rapid.T) { f.store.remove(fmt.Sprint("k", len(f.store.events)%5)) },
			"outage": func(rt *rapid.T) { f.store.setDown(rapid.Bool().Draw(rt, "down")) },
			"forget": func(*rapid.T) { f.store.forget() },
			"start": func(rt *rapid.T) {
				if len(nodes) < 8 {
					step(f.node())
				}
			},
			"seed": func(rt *rapid.T) { step(f.seed(rapid.IntRange(0, 2).Draw(rt, "seed"))) },
			"cut": func(rt *rapid.T) {
				f.peers.setCut(f.seeds[rapid.IntRange(0, 2).Draw(rt, "seed")], true)
			},
			"freeze": func(rt *rapid.T) {
				if node := f.peers.at(f.seeds[rapid.IntRange(0, 2).Draw(rt, "seed")]); node != nil {
					node.mutex.Lock() // a question of a start that has ended may still be under way
					node.heardAt -= time.Minute
					node.mutex.Unlock()
				}
			},
			"step": func(*rapid.T) { all() },
		})
		f.store.setDown(false)
		all()
		all()
		for node, revision := range nodes {
			if got, want := node.contents.list(), f.store.items(); revision != uint64(len(f.store.events)) || !reflect.DeepEqual(got, want) {
				rt.Fatalf("at revision %d of %d: %v, want %v", revision, len(f.store.events), got, want)
			}
		}
	})
}

// TestHistoryIsBounded by the number of changes and by the size of their values.
func TestHistoryIsBounded(t *testing.T) {
	for _, test := range []struct{ size, most, want int }{{0, 3, 3}, {maxHistoryBytes / 2, 10, 2}, {2 * maxHistoryBytes, 10, 1}} {
		h := newHistory(test.most)
		h.begin(0)
		for revision := uint64(1); revision <= 8; revision++ {
			h.add(revision-1, []Event{{Item: Item{Revision: revision, Value: make([]byte, test.size)}}}, revision)
		}
		behind, _ := h.after(uint64(7 - test.want))
		whole, _ := h.after(uint64(8 - test.want))
		if behind.State != WatchRefused || whole.State != WatchCurrent || len(whole.Events) != test.want {
			t.Errorf("%+v: %s, %s with %d changes", test, behind.State, whole.State, len(whole.Events))
		}
	}
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
