package mirror

import (
	"errors"
	"testing"
)

// TestLargeChangesArePacked for followers, once for all that ask alike.
func TestLargeChangesArePackedOnce(t *testing.T) {
	p := newWatcherPair(t)
	p.store.add(Event{Item: Item{Key: "large", Value: make([]byte, 4*packThreshold)}})
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	response, err := p.watcher.Serve(t.Context(), p.followerRevision, 0)
	if err != nil || len(response.Events) != 0 || len(response.Packed) == 0 || len(response.Packed) > packThreshold/4 {
		t.Fatalf("%d events, %d packed bytes, %v", len(response.Events), len(response.Packed), err)
	}
	if repeated, _ := p.watcher.Serve(t.Context(), p.followerRevision, 0); &repeated.Packed[0] != &response.Packed[0] {
		t.Error("packed anew")
	}
	p.wantFollow(1, 0, nil)
	p.store.put("small")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	if response, err = p.watcher.Serve(t.Context(), p.followerRevision, 0); err != nil || len(response.Events) != 1 {
		t.Errorf("%d events, %v", len(response.Events), err)
	}
}

// TestUnpackRefusesWhatIsTooLarge, or no pack at all.
func TestUnpackRejectsOversizedOrInvalidInput(t *testing.T) {
	packed, err := pack([]Item{{Key: "large", Value: make([]byte, maxUnpackedBytes)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unpack[Item](packed); !errors.Is(err, errUnpackedTooLarge) {
		t.Errorf("got %v", err)
	}
	if _, err := unpack[Item]([]byte("no pack")); err == nil {
		t.Error("read what was not packed")
	}
}
