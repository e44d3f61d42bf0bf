package lease

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

var errUnavailable = errors.New("store unavailable")

// storeModel is a Store with one key, whose responses are lost at random.
type storeModel struct {
	random          *rand.Rand
	lossProbability float64
	down            bool
	leases          map[uint64]bool
	granted         uint64
	keyLease        uint64 // lease of the key; zero if the key does not exist
	creates         int    // number of creates that took effect
	renewals        int
}

func (m *storeModel) respond(err error) error {
	if m.random.Float64() < m.lossProbability {
		return errUnavailable
	}
	return err
}

func (m *storeModel) Grant(context.Context, time.Duration) (uint64, error) {
	if m.down {
		return 0, errUnavailable
	}
	m.granted++
	m.leases[m.granted] = true
	if err := m.respond(nil); err != nil {
		return 0, err
	}
	return m.granted, nil
}

func (m *storeModel) Renew(_ context.Context, id uint64) error {
	switch {
	case m.down:
		return errUnavailable
	case !m.leases[id]:
		return m.respond(ErrExpired)
	}
	m.renewals++
	return m.respond(nil)
}

func (m *storeModel) Create(_ context.Context, _ string, _ []byte, id uint64) error {
	switch {
	case m.down:
		return errUnavailable
	case !m.leases[id]:
		return m.respond(ErrExpired)
	case m.keyLease != 0:
		return m.respond(ErrExists)
	}
	m.keyLease = id
	m.creates++
	return m.respond(nil)
}

func (m *storeModel) expireLeases() {
	m.leases = make(map[uint64]bool)
	m.keyLease = 0
}

// seedPreviousLease writes the key under the lease of an earlier process if exists is set, and
// returns that lease. If expired is set, the lease has expired since it was read.
func (m *storeModel) seedPreviousLease(exists, expired bool) uint64 {
	if !exists {
		return 0
	}
	m.granted++
	m.leases[m.granted], m.keyLease = true, m.granted
	if expired {
		m.expireLeases()
	}
	return m.granted
}

// TestPreviousLeaseIsRenewed checks that a Holder renews the lease of an earlier process and
// requests no new one.
func TestPreviousLeaseIsRenewed(t *testing.T) {
	store := &storeModel{random: rand.New(rand.NewPCG(1, 1)), leases: make(map[uint64]bool)}
	previous := store.seedPreviousLease(true, false)
	holder := NewHolder(Config{Key: "k", Previous: previous, TTL: 9 * time.Second, MinBackoff: time.Millisecond, MaxBackoff: time.Second}, store, slog.New(slog.DiscardHandler))
	if pause := holder.step(context.Background()); pause != 3*time.Second || store.renewals != 1 || store.creates != 0 || store.granted != previous {
		t.Errorf("got pause %v, %d renewals, %d keys written, last lease %d; want 3s, 1, 0, %d", pause, store.renewals, store.creates, store.granted, previous)
	}
}

// TestHolderRecoversFromFailures loses responses, stops the store and expires leases in any order,
// and checks that afterwards the key is held by the lease that is renewed.
func TestHolderRecoversFromFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), leases: make(map[uint64]bool)}
		previous := store.seedPreviousLease(rapid.Bool().Draw(t, "previous"), rapid.Bool().Draw(t, "expired"))
		holder := NewHolder(Config{Key: "k", Previous: previous, TTL: time.Second, MinBackoff: time.Millisecond, MaxBackoff: time.Second}, store, slog.New(slog.DiscardHandler))
		for _, failure := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 40).Draw(t, "failures") {
			switch failure {
			case 0:
				store.expireLeases()
			case 1:
				store.down = !store.down
			case 2:
				store.lossProbability = 0.5
			case 3:
				store.lossProbability = 0
			}
			if pause := holder.step(context.Background()); pause < 0 || pause > time.Second {
				t.Fatalf("got pause %v, want 0 to 1s", pause)
			}
		}
		store.down, store.lossProbability = false, 0
		for range 4 {
			holder.step(context.Background())
		}
		if store.keyLease == 0 || store.keyLease != holder.id || !store.leases[holder.id] {
			t.Fatalf("key is under lease %d, holder renews lease %d, valid leases are %v; want the same valid lease", store.keyLease, holder.id, store.leases)
		}
	})
}

func TestThreeRenewalsPerTTL(t *testing.T) {
	store := &storeModel{random: rand.New(rand.NewPCG(1, 1)), leases: make(map[uint64]bool)}
	holder := NewHolder(Config{Key: "k", TTL: 9 * time.Second, MinBackoff: time.Millisecond, MaxBackoff: time.Second}, store, slog.New(slog.DiscardHandler))
	for range 2 {
		holder.step(context.Background())
	}
	if pause := holder.step(context.Background()); pause != 3*time.Second || store.renewals != 1 {
		t.Errorf("got pause %v after %d renewals, want 3s after 1", pause, store.renewals)
	}
}

func TestRunReturnsWhenContextEnds(t *testing.T) {
	store := &storeModel{random: rand.New(rand.NewPCG(1, 1)), leases: make(map[uint64]bool), down: true}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		NewHolder(Config{Key: "k", TTL: time.Hour, MinBackoff: time.Hour, MaxBackoff: time.Hour}, store, slog.New(slog.DiscardHandler)).Run(ctx)
		close(done)
	}()
	stop()
	<-done
}

// TestLeaseIsTakenAgainAtOnceAfterRestore guards against a node that other nodes do not count because
// the store was restored without its key, until its next renewal.
func TestLeaseIsTakenAgainAtOnceAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &grantCounter{}
		found := make(chan uint64, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		holder := NewHolder(Config{Key: "k", Found: found, TTL: time.Hour, MinBackoff: time.Millisecond, MaxBackoff: time.Second}, store, slog.New(slog.DiscardHandler))
		go holder.Run(ctx)
		synctest.Wait()
		found <- 0
		synctest.Wait()
		if store.grants != 2 || store.creates != 2 {
			t.Errorf("got %d leases and %d keys written, want 2 and 2", store.grants, store.creates)
		}
		found <- 9
		synctest.Wait()
		if store.renewed != 9 || store.grants != 2 {
			t.Errorf("got lease %d renewed after %d leases, want 9 after 2", store.renewed, store.grants)
		}
	})
}

// grantCounter is a Store that counts its calls.
type grantCounter struct {
	grants, creates int
	renewed         uint64
}

func (g *grantCounter) Grant(context.Context, time.Duration) (uint64, error) {
	g.grants++
	return uint64(g.grants), nil
}

func (g *grantCounter) Renew(_ context.Context, id uint64) error {
	g.renewed = id
	return nil
}

func (g *grantCounter) Create(context.Context, string, []byte, uint64) error {
	g.creates++
	return nil
}
