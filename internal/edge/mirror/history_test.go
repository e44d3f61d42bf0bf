package mirror

import (
	"errors"
	"reflect"
	"testing"
)

// TestFollowersHearWhatAnExpiredHistoryHid, without a call to the store of their
// own: the watcher compares what it reads with what it knew.
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
	p.wantFollow(0, 0, nil) // it waits for the watcher
	if _, _, err := p.watcher.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(3, 0, nil)
	if got, want := p.follower.replica.list(), p.store.items(); !reflect.DeepEqual(got, want) {
		t.Errorf("the follower knows %v, want %v", got, want)
	}
}

// TestFollowerThatKnowsMoreIsToldNoDifference: what it knows may have come and gone
// while the watcher knew nothing, who cannot tell it then.
func TestFollowerAheadOfDiffMustReload(t *testing.T) {
	p := newWatcherPair(t)
	p.store.put("a")
	if _, _, err := p.follower.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.followerRevision = 1
	p.store.remove("a")
	p.store.compact()
	_ = p.watch()
	if _, _, err := p.watcher.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(0, 1, ErrCompacted) // it has to read the store itself
}

// TestFollowerThatBecomesAWatcherKeepsItsHistory, so that others need not turn to
// the store when the watchers change.
func TestPromotedFollowerKeepsHistory(t *testing.T) {
	p := newWatcherPair(t)
	oldRevision := p.followerRevision
	p.store.put("a")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	p.wantFollow(1, 0, nil)
	if response := p.follower.awaitChanges(t.Context(), oldRevision, 0); response.State != WatchRefused {
		t.Errorf("a follower answers %s", response.State)
	}
	p.follower.SetWatchers(true, nil)
	p.wantFollow(0, 1, nil)
	if response := p.follower.awaitChanges(t.Context(), oldRevision, 0); response.State != WatchCurrent || len(response.Events) != 1 {
		t.Errorf("a new watcher answers %s with %d events", response.State, len(response.Events))
	}
}

// TestHistoryIsBounded by the number of changes and by the size of their values.
func TestHistoryIsBounded(t *testing.T) {
	for _, test := range []struct{ size, maxEvents, want int }{{0, 3, 3}, {maxHistoryBytes / 2, 10, 2}, {2 * maxHistoryBytes, 10, 1}} {
		h := newHistory(test.maxEvents)
		h.restart(0)
		for revision := uint64(1); revision <= 8; revision++ {
			h.append(revision-1, []Event{{Item: Item{Revision: revision, Value: make([]byte, test.size)}}}, revision)
		}
		tooOld, _ := h.eventsAfter(uint64(7 - test.want))
		complete, _ := h.eventsAfter(uint64(8 - test.want))
		if tooOld.State != WatchRefused || complete.State != WatchCurrent || len(complete.Events) != test.want {
			t.Errorf("%+v: %s, %s with %d changes", test, tooOld.State, complete.State, len(complete.Events))
		}
	}
}
