package lease

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSharedLeaseHasHalfOfItsTimeLeft, and is granted anew only for that, or when it
// was lost.
func TestSharedLeaseHasHalfOfItsTimeLeft(t *testing.T) {
	store := &model{random: rand.New(rand.NewPCG(1, 1)), leases: make(map[uint64]bool)}
	now := time.Duration(0)
	shared := NewShared(store, 10*time.Second, func() time.Duration { return now })
	ask := func() uint64 {
		t.Helper()
		id, err := shared.ID(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return id
	}
	first := ask()
	now = 4 * time.Second
	if again := ask(); again != first {
		t.Errorf("lease %d after 4 s, %d before", again, first)
	}
	now = 5 * time.Second
	second := ask()
	if second == first {
		t.Error("the same lease with half of its time left")
	}
	shared.Lapsed(first)
	if again := ask(); again != second {
		t.Error("the end of a former lease ended this one")
	}
	shared.Lapsed(second)
	if ask() == second {
		t.Error("a lease that was lost is used again")
	}
	store.down = true
	now = time.Hour
	if _, err := shared.ID(context.Background()); err == nil {
		t.Error("a lease without a store")
	}
}
