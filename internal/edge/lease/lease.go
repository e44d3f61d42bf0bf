// Package lease keeps one key of a process in a key-value store, under a lease that the
// process renews (Holder): the key expires after the process has ended. A Shared is a lease
// for many keys that is not renewed.
//
// It owns the id of the lease. It relies on a Store, whose calls may have been done though
// they failed, and on timers for the pauses; the store alone says whether a lease holds.
package lease

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

// Errors of a Store that a Holder distinguishes. Others are taken for temporary.
var (
	// ErrLapsed means that the lease has expired, or was dropped by the store.
	ErrLapsed = errors.New("lease has lapsed")
	// ErrExists means that the key is there already.
	ErrExists = errors.New("key exists")
)

// Store grants leases and writes keys under them. A call that failed may have
// been done, or may be done later.
type Store interface {
	// Grant returns the id of a new lease.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, id uint64) error
	// Create writes a key that does not exist, bound to a lease.
	Create(ctx context.Context, key string, value []byte, id uint64) error
}

// Config is the policy of a Holder.
type Config struct {
	// Key is the key to hold. No other process may write it, nor a former
	// incarnation of this one: so a key that exists was written here, and its
	// answer was lost.
	Key   string
	Value []byte
	// Former is a lease of a former incarnation, whose key says the same as Value;
	// zero without one. It is renewed in place of a new one, and Key is written
	// only once it has lapsed.
	Previous uint64
	// TTL is how long the key stays in the store without a renewal.
	TTL time.Duration
	// MinBackoff and MaxBackoff bound the pause after an error.
	MinBackoff, MaxBackoff time.Duration
}

// renewals is how many times a lease is renewed within its TTL. Not measured: chosen
// because the answers to two renewals in a row may be lost.
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

// NewHolder returns a Holder that has made no call yet.
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
		}
		timer.Stop()
	}
}

// step makes the next call and returns the pause after it.
func (h *Holder) step(ctx context.Context) time.Duration {
	err := h.callStore(ctx)
	switch {
	case errors.Is(err, ErrLapsed):
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

// create writes the key. If it exists, a former call was done and its answer was lost:
// keys of a former lease expired with it.
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
