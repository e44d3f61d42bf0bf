package mirror

import (
	"errors"
	"testing"
)

// TestLargeChangesArePackedOnce checks that large changes are packed for followers, and only once
// for all followers at the same revision.
func TestLargeChangesArePackedOnce(t *testing.T) {
	p := newWatcherPair(t)
	p.store.add(Event{Item: Item{Key: "large", Value: make([]byte, 4*packThreshold)}})
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	response, err := p.watcher.Serve(t.Context(), p.followerPosition, 0)
	if err != nil || len(response.Events) != 0 || len(response.Packed) == 0 || len(response.Packed) > packThreshold/4 {
		t.Fatalf("%d events, %d packed bytes, error %v; want no events and 1 to %d packed bytes", len(response.Events), len(response.Packed), err, packThreshold/4)
	}
	if repeated, _ := p.watcher.Serve(t.Context(), p.followerPosition, 0); &repeated.Packed[0] != &response.Packed[0] {
		t.Error("changes were packed again, want the packed bytes of the first response")
	}
	p.wantFollow(1, 0, nil)
	p.store.put("small")
	if err := p.watch(); err != nil {
		t.Fatal(err)
	}
	if response, err = p.watcher.Serve(t.Context(), p.followerPosition, 0); err != nil || len(response.Events) != 1 {
		t.Errorf("%d events, error %v; want 1 unpacked event", len(response.Events), err)
	}
}

// TestUnpackRejectsOversizedOrInvalidInput checks that unpack fails on input that exceeds
// maxUnpackedBytes or is not packed.
func TestUnpackRejectsOversizedOrInvalidInput(t *testing.T) {
	packed, err := pack([]Item{{Key: "large", Value: make([]byte, maxUnpackedBytes)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unpack[Item](packed); !errors.Is(err, errUnpackedTooLarge) {
		t.Errorf("unpack of oversized input: got %v, want %v", err, errUnpackedTooLarge)
	}
	if _, err := unpack[Item]([]byte("no pack")); err == nil {
		t.Error("unpack of input that is not packed: got no error")
	}
}
