package lease

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var errAway = errors.New("away")

// model is a Store with one key, whose answers get lost by chance.
type model struct {
	random   *rand.Rand
	lossy    float64
	down     bool
	leases   map[uint64]bool
	granted  uint64
	holder   uint64 // lease of the key; zero if it is not there
	creates  int    // that took effect
	renewals int
}

func (m *model) answer(err error) error {
	if m.random.Float64() < m.lossy {
		return errAway
	}
	return err
}

func (m *model) Grant(context.Context, time.Duration) (uint64, error) {
	if m.down {
		return 0, errAway
	}
	m.granted++
	m.leases[m.granted] = true
	if err := m.answer(nil); err != nil {
		return 0, err
	}
	return m.granted, nil
}

func (m *model) Renew(_ context.Context, id uint64) error {
	switch {
	case m.down:
		return errAway
	case !m.leases[id]:
		return m.answer(ErrLapsed)
	}
	m.renewals++
	return m.answer(nil)
}

func (m *model) Create(_ context.Context, _ string, _ []byte, id uint64) error {
	switch {
	case m.down:
		return errAway
	case !m.leases[id]:
		return m.answer(ErrLapsed)
	case m.holder != 0:
		return m.answer(ErrExists)
	}
	m.holder = id
	m.creates++
	return m.answer(nil)
}

func (m *model) lapse() {
	m.leases = make(map[uint64]bool)
	m.holder = 0
}

// formerly writes the key under the lease of a former process, or not, and returns
// the lease. It may have lapsed since that was read.
func (m *model) formerly(there, lapsed bool) uint64 {
	if !there {
		return 0
	}
	m.granted++
	m.leases[m.granted], m.holder = true, m.granted
	if lapsed {
		m.lapse()
	}
	return m.granted
}

// TestFormerLeaseIsRenewed in place of a new one.
func TestFormerLeaseIsRenewed(t *testing.T) {
	store := &model{random: rand.New(rand.NewPCG(1, 1)), leases: make(map[uint64]bool)}
	former := store.formerly(true, false)
	holder := NewHolder(Config{Key: "k", Former: former, TTL: 9 * time.Second, MinBackoff: time.Millisecond, MaxBackoff: time.Second}, store, slog.New(slog.DiscardHandler))
	if pause := holder.step(context.Background()); pause != 3*time.Second || store.renewals != 1 || store.creates != 0 || store.granted != former {
		t.Errorf("pause %v, %d renewals, %d keys written, %d leases", pause, store.renewals, store.creates, store.granted)
	}
}

// TestKeyIsHeldAgainAfterAnyTrouble lets answers get lost, the store be down
// and leases lapse, in any order: once that ends, the key is held by the lease
// that is renewed.
func TestKeyIsHeldAgainAfterAnyTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &model{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), leases: make(map[uint64]bool)}
		former := store.formerly(rapid.Bool().Draw(t, "former"), rapid.Bool().Draw(t, "lapsed"))
		holder := NewHolder(Config{Key: "k", Former: former, TTL: time.Second, MinBackoff: time.Millisecond, MaxBackoff: time.Second}, store, slog.New(slog.DiscardHandler))
		for _, trouble := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 40).Draw(t, "troubles") {
			switch trouble {
			case 0:
				store.lapse()
			case 1:
				store.down = !store.down
			case 2:
				store.lossy = 0.5
			case 3:
				store.lossy = 0
			}
			if pause := holder.step(context.Background()); pause < 0 || pause > time.Second {
				t.Fatalf("pause %v", pause)
			}
		}
		store.down, store.lossy = false, 0
		for range 4 {
			holder.step(context.Background())
		}
		if store.holder == 0 || store.holder != holder.id || !store.leases[holder.id] {
			t.Fatalf("the key is under lease %d, the holder renews %d of %v", store.holder, holder.id, store.leases)
		}
	})
}

func TestRenewalsLeaveRoomForLostAnswers(t *testing.T) {
	store := &model{random: rand.New(rand.NewPCG(1, 1)), leases: make(map[uint64]bool)}
	holder := NewHolder(Config{Key: "k", TTL: 9 * time.Second, MinBackoff: time.Millisecond, MaxBackoff: time.Second}, store, slog.New(slog.DiscardHandler))
	for range 2 {
		holder.step(context.Background())
	}
	if pause := holder.step(context.Background()); pause != 3*time.Second || store.renewals != 1 {
		t.Errorf("pause %v after %d renewals", pause, store.renewals)
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	store := &model{random: rand.New(rand.NewPCG(1, 1)), leases: make(map[uint64]bool), down: true}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		NewHolder(Config{Key: "k", TTL: time.Hour, MinBackoff: time.Hour, MaxBackoff: time.Hour}, store, slog.New(slog.DiscardHandler)).Run(ctx)
		close(done)
	}()
	stop()
	<-done
}
