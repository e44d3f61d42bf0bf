package mirror

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/position"
)

func TestFollowerReceivesChangesFromWatcher(t *testing.T) {
	p := newWatcherPair(t)
	p.store.put("a")
	p.wantFollow(0, 0, nil) // the watcher has not received the change
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
	p.wantFollow(0, 0, nil)
}

// TestWatcherUsesShortWatchTimeout checks that a watcher watches the store with a short timeout,
// because followers rely on the watcher to notice an outage.
func TestWatcherUsesShortWatchTimeout(t *testing.T) {
	p := newWatcherPair(t)
	if wait := p.store.waits[len(p.store.waits)-1]; wait != DefaultSharedConfig().WatchTimeout {
		t.Errorf("watcher watches for %v, want %v", wait, DefaultSharedConfig().WatchTimeout)
	}
	p.follower.SetWatchers(false, nil)
	p.wantFollow(0, 1, nil)
	if wait := p.store.waits[len(p.store.waits)-1]; wait != time.Minute {
		t.Errorf("node without followers watches for %v, want %v", wait, time.Minute)
	}
}

// TestFollowerFallsBackToStore checks that a follower asks the store if the watcher is unreachable,
// is no longer a watcher, or does not have enough history.
func TestFollowerFallsBackToStore(t *testing.T) {
	p := newWatcherPair(t)
	p.store.put("a")
	p.peers.setUnreachable(p.address, true)
	p.wantFollow(1, 1, nil)
	p.peers.setUnreachable(p.address, false)
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
	p.watcher.history.restart(at(2))
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.followerPosition = at(1) // the history of the watcher begins later
	p.wantFollow(1, 1, nil)
}

// TestFollowerTriesNextWatcherFirst checks that a follower asks another watcher before the store if
// there is enough time.
func TestFollowerTriesNextWatcherFirst(t *testing.T) {
	p := newWatcherPair(t)
	unreachable := netip.MustParseAddrPort("127.0.0.1:2")
	p.peers.setUnreachable(unreachable, true)
	p.follower.SetWatchers(false, []netip.AddrPort{unreachable, p.address})
	p.store.put("a")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
	p.follower.config.ResponseSlack = 0 // no time is left after the first watcher has failed
	p.wantFollow(0, 1, nil)
}

// TestFollowerSeesStoreOutageOfWatcher checks that a follower learns from the watcher that the
// store is down, so that it treats an outage as if it had noticed it itself.
func TestFollowerSeesStoreOutageOfWatcher(t *testing.T) {
	p := newWatcherPair(t)
	p.store.setDown(true)
	if err := p.watch(); err == nil {
		t.Fatal("watch of a store that is down: got no error")
	}
	p.wantFollow(0, 0, ErrWatcherDisconnected)
	p.store.setDown(false)
	p.store.put("a")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
}

// TestOutageProbesAreRateLimited checks that a node whose watchers cannot reach the store probes it
// only from time to time, and continues with the store if it responds.
func TestOutageProbesAreRateLimited(t *testing.T) {
	p := newWatcherPair(t)
	p.follower.config.WatcherBackoff = time.Hour
	p.store.setDown(true)
	_ = p.watch()
	for range 20 {
		p.wantFollow(0, 0, ErrWatcherDisconnected)
	}
	p.follower.nextProbeAt = time.Now()
	p.wantFollow(0, 1, errStoreDown)
	p.wantFollow(0, 0, ErrWatcherDisconnected)
	p.store.setDown(false) // for the follower; the watcher has not noticed yet
	p.store.put("a")
	p.follower.nextProbeAt = time.Now()
	p.wantFollow(1, 1, nil)
	p.store.put("b")
	p.wantFollow(1, 1, nil)
	p.store.put("c")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
}

// TestServeReturnsOnChangeOrOutage checks that a waiting request returns when there is a change or
// the store becomes unreachable.
func TestServeReturnsOnChangeOrOutage(t *testing.T) {
	for name, trigger := range map[string]func(p *watcherPair){
		"change": func(p *watcherPair) { p.store.put("a") },
		"outage": func(p *watcherPair) { p.store.setDown(true) },
	} {
		p := newWatcherPair(t)
		responses := make(chan WatchResponse)
		go func() { responses <- p.watcher.awaitChanges(t.Context(), at(0), time.Hour) }()
		trigger(p)
		_ = p.watch()
		response := <-responses
		if got := fmt.Sprint(response.State, len(response.Events)); got != map[string]string{"change": "current1", "outage": "lost0"}[name] {
			t.Errorf("%s: got state and number of events %s", name, got)
		}
	}
}

// TestFollowerReceivesEveryChangeInOrder generates random changes, outages, unreachable watchers,
// changes of the watchers and re-reads of the range. The follower must receive every change once
// and in order.
func TestFollowerReceivesEveryChangeInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newWatcherPair(t)
		p.watcher.history.maxEvents = 3
		var got []uint64
		rt.Repeat(map[string]func(*rapid.T){
			"change":  func(*rapid.T) { p.store.put(fmt.Sprint("k", len(p.store.events))) },
			"outage":  func(rt *rapid.T) { p.store.setDown(rapid.Bool().Draw(rt, "down")) },
			"cut":     func(rt *rapid.T) { p.peers.setUnreachable(p.address, rapid.Bool().Draw(rt, "cut")) },
			"watcher": func(rt *rapid.T) { p.watcher.SetWatchers(rapid.Bool().Draw(rt, "watching"), nil) },
			"watch":   func(*rapid.T) { _ = p.watch() },
			"range": func(*rapid.T) {
				if _, revision, err := p.watcher.Range(t.Context(), ""); err == nil {
					p.watcherPosition = revision
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
						rt.Fatalf("received revisions %v, want them consecutive from 1", got)
					}
				}
				if p.followerPosition != at(uint64(len(got))) {
					rt.Fatalf("follower is at position %v, want %d, after revisions %v", p.followerPosition, len(got), got)
				}
			},
		})
	})
}

// TestWatcherBehindFollowerIsSkipped checks that a follower does not wait for a watcher that is
// behind it. A watcher that has recovered from an outage has old changes to process and returns no
// new ones meanwhile.
func TestWatcherBehindFollowerIsSkipped(t *testing.T) {
	p := newWatcherPair(t)
	p.store.put("a")
	p.follower.SetWatchers(false, nil)
	p.wantFollow(1, 1, nil) // from the store
	p.follower.SetWatchers(false, []netip.AddrPort{p.address})
	p.store.put("b")
	p.wantFollow(1, 1, nil)
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(0, 0, nil)
}

// TestFollowerCopiesRestoredItemsFromWatcher guards against a fleet that reads a restored store all at
// once.
func TestFollowerCopiesRestoredItemsFromWatcher(t *testing.T) {
	p := newWatcherPair(t)
	for range 3 {
		p.store.put("a")
	}
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(3, 0, nil)
	p.store.restore(2)
	for range 4 {
		p.store.put("b")
	}
	p.wantFollow(0, 0, nil) // the watcher has not heard of the restore
	if err := p.watch(); !errors.Is(err, ErrRestored) {
		t.Fatalf("watch of the watcher: got error %v, want %v", err, ErrRestored)
	}
	if _, _, err := p.watcher.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(0, 0, ErrRestored)
	ranges := p.store.ranges
	items, reached, err := p.follower.Range(t.Context(), "")
	if want := p.store.items(); err != nil || reached != p.store.position() || !reflect.DeepEqual(items, want) {
		t.Errorf("got items %v at %v, error %v; want %v at %v", items, reached, err, want, p.store.position())
	}
	if p.store.ranges != ranges {
		t.Errorf("the follower read the store, want a copy of the watcher")
	}
}

// TestNodesOfTwoErasShareNoChanges guards against a node that mixes positions before and after a
// restore, also one whose version does not state the era.
func TestNodesOfTwoErasShareNoChanges(t *testing.T) {
	p := newWatcherPair(t)
	p.store.restore(0)
	if _, _, err := p.watcher.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.store.put("a")
	p.watcherPosition = p.store.position()
	for _, after := range []position.Position{{Revision: 0}, {Era: 2}} {
		if response := p.watcher.awaitChanges(t.Context(), after, 0); response.State != WatchRefused || response.Era != 1 {
			t.Errorf("response to a node at %v: got %+v, want a refusal that names era 1", after, response)
		}
	}
}

// TestNodeThatStatesNoEraIsServedUntilRestore guards against a fleet of two versions whose nodes all
// read the store, and against a node that is sent to a watcher which is behind it.
func TestNodeThatStatesNoEraIsServedUntilRestore(t *testing.T) {
	p := newWatcherPair(t)
	p.store.era = 1
	if _, _, err := p.watcher.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.watcher.history.restored = false // the watcher has read only this era
	p.watcherPosition = p.store.position()
	p.store.put("a")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	if response := p.watcher.awaitChanges(t.Context(), at(0), 0); response.State != WatchCurrent || len(response.Events) != 1 {
		t.Errorf("node at revision 0: got %+v, want one change", response)
	}
	if response := p.watcher.awaitChanges(t.Context(), at(9), 0); response.State != WatchRefused {
		t.Errorf("node at a later revision: got %+v, want a refusal", response)
	}
}
