package mirror

import (
	"errors"
	"testing"
)

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
