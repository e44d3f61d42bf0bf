package lease

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSharedLeaseIsReplacedAtHalfOfTTL checks that a lease is granted only when half of the TTL has
// passed or the lease was lost.
func TestSharedLeaseIsReplacedAtHalfOfTTL(t *testing.T) {
	store := &storeModel{random: rand.New(rand.NewPCG(1, 1)), leases: make(map[uint64]bool)}
	now := time.Duration(0)
	shared := NewShared(store, 10*time.Second, func() time.Duration { return now })
	leaseID := func() uint64 {
		t.Helper()
		id, err := shared.ID(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return id
	}
	first := leaseID()
	now = 4 * time.Second
	if again := leaseID(); again != first {
		t.Errorf("lease after 4 s: got %d, want %d", again, first)
	}
	now = 5 * time.Second
	second := leaseID()
	if second == first {
		t.Error("lease after 5 s: got the same one, want a new one")
	}
	shared.Invalidate(first)
	if again := leaseID(); again != second {
		t.Error("Invalidate of an earlier lease has replaced the current one")
	}
	shared.Invalidate(second)
	if leaseID() == second {
		t.Error("lease after Invalidate: got the same one, want a new one")
	}
	store.down = true
	now = time.Hour
	if _, err := shared.ID(context.Background()); err == nil {
		t.Error("unavailable store: got a lease, want an error")
	}
}
