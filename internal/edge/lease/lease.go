// Package lease keeps one key of a process in a key-value store under a lease that the process
// renews (Holder). The key expires after the process has ended. Shared is a lease for many keys
// that is replaced rather than renewed.
//
// The package owns the ID of the lease. It relies on a Store, whose calls may have been carried out
// although they returned an error, and on timers for the pauses. Only the store decides whether a
// lease is still valid.
package lease

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

// These are the errors of a Store that a Holder distinguishes. Any other error counts as temporary.
var (
	// ErrExpired means that the lease has expired or was revoked by the store.
	ErrExpired = errors.New("lease has expired")
	// ErrExists means that the key already exists.
	ErrExists = errors.New("key already exists")
)

// Store grants leases and writes keys under them. A call that returned an error may have been
// carried out, or may still be carried out later.
type Store interface {
	// Grant returns the ID of a new lease.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, id uint64) error
	// Create writes a key that must not exist, bound to a lease.
	Create(ctx context.Context, key string, value []byte, id uint64) error
}

// Config is the policy of a Holder.
type Config struct {
	// Key is the key to hold. No other process and no earlier incarnation of this one may write it.
	// A key that already exists was therefore written by this Holder, and the response was lost.
	Key   string
	Value []byte
	// Previous is the lease of an earlier incarnation, whose key has the same value; zero if there
	// is none. The Holder renews this lease, and requests a new one and writes Key only after it
	// has expired.
	Previous uint64
	// Found receives the lease under which a restored store holds the key; zero if it lacks the key.
	// The Holder continues with it at once. It may be nil.
	Found <-chan uint64
	// TTL is how long the key stays in the store without a renewal.
	TTL time.Duration
	// MinBackoff and MaxBackoff bound the pause after an error.
	MinBackoff, MaxBackoff time.Duration
}

// renewalsPerTTL is how many times a lease is renewed within its TTL. The responses to two renewals
// in a row may be lost.
const renewalsPerTTL = 3

// Holder holds one key.
type Holder struct {
	config   Config
	store    Store
	logger   *slog.Logger
	id       uint64
	created  bool
	failures int
}

// NewHolder returns a Holder. It makes no call before Run.
func NewHolder(config Config, store Store, logger *slog.Logger) *Holder {
	return &Holder{config: config, store: store, logger: logger, id: config.Previous, created: config.Previous != 0}
}

// Run holds the key until ctx ends, and then lets the lease expire.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := h.step(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case found := <-h.config.Found:
			h.id, h.created = found, found != 0
		}
		timer.Stop()
	}
}

// step makes the next call and returns the pause after it.
func (h *Holder) step(ctx context.Context) time.Duration {
	err := h.callStore(ctx)
	switch {
	case errors.Is(err, ErrExpired):
		event.Log(h.logger, event.LeaseLapsed{Key: h.config.Key})
		h.id, h.created = 0, false
		return h.backoff()
	case err != nil:
		if h.failures == 0 && ctx.Err() == nil {
			event.Log(h.logger, event.LeaseNotRenewed{Key: h.config.Key, Error: err})
		}
		return h.backoff()
	case !h.created:
		return 0
	}
	h.failures = 0
	return h.config.TTL / renewalsPerTTL
}

func (h *Holder) callStore(ctx context.Context) error {
	switch {
	case h.id == 0:
		id, err := h.store.Grant(ctx, h.config.TTL)
		h.id = id
		return err
	case !h.created:
		return h.createKey(ctx)
	default:
		return h.store.Renew(ctx, h.id)
	}
}

// createKey writes the key. If the key exists, an earlier call was carried out and its response was
// lost: keys under an earlier lease expired with that lease.
func (h *Holder) createKey(ctx context.Context) error {
	err := h.store.Create(ctx, h.config.Key, h.config.Value, h.id)
	if errors.Is(err, ErrExists) {
		err = nil
	}
	h.created = err == nil
	return err
}

func (h *Holder) backoff() time.Duration {
	h.failures++
	pause := min(h.config.MinBackoff<<min(h.failures-1, 10), h.config.MaxBackoff)
	return pause/2 + rand.N(pause/2+1)
}
