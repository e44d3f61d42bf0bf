package lease

import (
	"context"
	"sync"
	"time"
)

// Granter grants leases; a Store is one.
type Granter interface {
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
}

// Shared is a lease for many keys, which is not renewed: it is granted when one is
// wanted, and replaced once half of its time is over. So a key under it stays for
// half of the TTL at least, and for the TTL at most. It is safe for concurrent use.
type Shared struct {
	granter Granter
	ttl     time.Duration
	now     func() time.Duration

	mutex     sync.Mutex
	id        uint64
	grantedAt time.Duration
}

// NewShared returns a Shared without a lease yet.
func NewShared(granter Granter, ttl time.Duration, now func() time.Duration) *Shared {
	return &Shared{granter: granter, ttl: ttl, now: now}
}

// ID returns a lease with at least half of its time left. Its error is the granter's.
func (s *Shared) ID(ctx context.Context) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	if s.id != 0 && now < s.grantedAt+s.ttl/2 {
		return s.id, nil
	}
	id, err := s.granter.Grant(ctx, s.ttl)
	if err != nil {
		return 0, err
	}
	s.id, s.grantedAt = id, now
	return id, nil
}

// Lapsed takes in that a lease has expired before its time: the next ID is another one.
func (s *Shared) Invalidate(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.id == id {
		s.id = 0
	}
}
