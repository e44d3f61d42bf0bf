package mirror

import (
	"errors"
	"reflect"
	"testing"
)

// TestFollowersReceiveDiffAfterCompaction checks that followers receive the changes that a
// compaction hid from the watcher, without a call to the store of their own: the watcher compares
// the new range with its previous copy.
func TestFollowersReceiveDiffAfterCompaction(t *testing.T) {
	p := newWatcherPair(t)
	p.store.put("a")
	p.store.put("b")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(2, 0, nil)
	p.store.remove("a")
	p.store.put("b")
	p.store.put("c")
	p.store.compact()
	if err := p.watch(); !errors.Is(err, ErrCompacted) {
		t.Fatal(err)
	}
	p.wantFollow(0, 0, nil) // the follower waits for the watcher
	if _, _, err := p.watcher.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(3, 0, nil)
	if got, want := p.follower.replica.list(), p.store.items(); !reflect.DeepEqual(got, want) {
		t.Errorf("items of the follower: %v, want %v", got, want)
	}
}

// TestFollowerAheadOfDiffMustReload checks that a follower inside a diff gap is refused. A key that
// it has may have been written and removed within the gap, and the difference would not contain it.
func TestFollowerAheadOfDiffMustReload(t *testing.T) {
	p := newWatcherPair(t)
	p.store.put("a")
	if _, _, err := p.follower.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.followerPosition = at(1)
	p.store.remove("a")
	p.store.compact()
	_ = p.watch()
	if _, _, err := p.watcher.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(0, 1, ErrCompacted) // the follower has to read the store itself
}

// TestPromotedFollowerKeepsHistory checks that a follower that becomes a watcher serves its
// history, so that other nodes need not read the store when the watchers change.
func TestPromotedFollowerKeepsHistory(t *testing.T) {
	p := newWatcherPair(t)
	oldRevision := p.followerPosition
	p.store.put("a")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
	if response := p.follower.awaitChanges(t.Context(), oldRevision, 0); response.State != WatchRefused {
		t.Errorf("state of a follower: %s, want %s", response.State, WatchRefused)
	}
	p.follower.SetWatchers(true, nil)
	p.wantFollow(0, 1, nil)
	if response := p.follower.awaitChanges(t.Context(), oldRevision, 0); response.State != WatchCurrent || len(response.Events) != 1 {
		t.Errorf("new watcher: state %s with %d events, want %s with 1", response.State, len(response.Events), WatchCurrent)
	}
}

// TestHistoryIsBounded checks the bounds on the number of changes and on the size of their values.
func TestHistoryIsBounded(t *testing.T) {
	for _, test := range []struct{ size, maxEvents, want int }{{0, 3, 3}, {maxHistoryBytes / 2, 10, 2}, {2 * maxHistoryBytes, 10, 1}} {
		h := newHistory(test.maxEvents)
		h.restart(at(0))
		for revision := uint64(1); revision <= 8; revision++ {
			h.append(at(revision-1), []Event{{Item: Item{Revision: revision, Value: make([]byte, test.size)}}}, at(revision))
		}
		tooOld, _ := h.eventsAfter(at(uint64(7 - test.want)))
		complete, _ := h.eventsAfter(at(uint64(8 - test.want)))
		if tooOld.State != WatchRefused || complete.State != WatchCurrent || len(complete.Events) != test.want {
			t.Errorf("%+v: before the bound %s, at the bound %s with %d changes, want %s, %s with %d", test, tooOld.State, complete.State, len(complete.Events), WatchRefused, WatchCurrent, test.want)
		}
	}
}
