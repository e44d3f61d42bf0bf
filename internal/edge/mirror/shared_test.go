package mirror

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestFollowerReceivesChangesFromWatcher(t *testing.T) {
	p := newWatcherPair(t)
	p.store.put("a")
	p.wantFollow(0, 0, nil) // the watcher has not heard of it
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
	p.wantFollow(0, 0, nil)
}

// TestWatcherWaitsShortly, since others rely on its noticing an outage.
func TestWatcherUsesShortWatchTimeout(t *testing.T) {
	p := newWatcherPair(t)
	if wait := p.store.waits[len(p.store.waits)-1]; wait != DefaultSharedConfig().WatchTimeout {
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
	p.watcher.history.restart(2)
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.followerRevision = 1 // the history of the watcher begins later
	p.wantFollow(1, 1, nil)
}

// TestFollowerTurnsToAnotherWatcher first, if there is time.
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
	p.follower.config.ResponseSlack = 0 // there is none once the first one has failed
	p.wantFollow(0, 1, nil)
}

// TestOutageIsSeenThroughTheWatcher, so that the follower judges what vanishes
// around it as it would if it had met it itself.
func TestFollowerSeesStoreOutageOfWatcher(t *testing.T) {
	p := newWatcherPair(t)
	p.store.setDown(true)
	if err := p.watch(); err == nil {
		t.Fatal("watched a store that is down")
	}
	p.wantFollow(0, 0, ErrWatcherDisconnected)
	p.store.setDown(false)
	p.store.put("a")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
}

// TestOutageIsNotProbedByEveryNodeAtOnce: a node whose watchers have lost the store
// asks it from time to time, and goes on with it if it answers.
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
	p.store.setDown(false) // for the follower; the watcher has not noticed
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

// TestServeWakesUp when there is a change, or the store is lost.
func TestServeReturnsOnChangeOrOutage(t *testing.T) {
	for name, trigger := range map[string]func(p *watcherPair){
		"change": func(p *watcherPair) { p.store.put("a") },
		"outage": func(p *watcherPair) { p.store.setDown(true) },
	} {
		p := newWatcherPair(t)
		responses := make(chan Watched)
		go func() { responses <- p.watcher.awaitChanges(t.Context(), 0, time.Hour) }()
		trigger(p)
		_ = p.watch()
		response := <-responses
		if got := fmt.Sprint(response.State, len(response.Events)); got != map[string]string{"change": "current1", "outage": "lost0"}[name] {
			t.Errorf("%s: %s", name, got)
		}
	}
}

// TestFollowerMissesNothing plays random changes, outages, cuts, changes of
// watchers and lost histories: the follower gets every change once, in order.
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
					p.watcherRevision = revision
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
				if p.followerRevision != uint64(len(got)) {
					rt.Fatalf("at revision %d with %v", p.followerRevision, got)
				}
			},
		})
	})
}

// TestFollowerThatKnowsMoreThanTheWatcherAsksElsewhere: a watcher that comes back
// from an outage has old changes to take in, and tells of no new ones meanwhile.
func TestWatcherBehindFollowerIsSkipped(t *testing.T) {
	p := newWatcherPair(t)
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
