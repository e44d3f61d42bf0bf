package lease

import (
	"context"
	"sync"
	"time"
)

// Granter grants leases. A Store is a Granter.
type Granter interface {
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
}

// Shared is a lease for many keys. It is not renewed, but granted on demand and replaced once half
// of its TTL has passed. A key under it therefore stays for at least half of the TTL, and at most
// for the TTL. It is safe for concurrent use.
type Shared struct {
	granter Granter
	ttl     time.Duration
	now     func() time.Duration

	mutex     sync.Mutex
	id        uint64
	grantedAt time.Duration
}

// NewShared returns a Shared that has no lease yet.
func NewShared(granter Granter, ttl time.Duration, now func() time.Duration) *Shared {
	return &Shared{granter: granter, ttl: ttl, now: now}
}

// ID returns the ID of a lease with at least half of its TTL left. It returns the error of the
// Granter if a new lease is needed and cannot be granted.
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

// Reset forgets the lease: the next call of ID returns another one.
func (s *Shared) Reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.id = 0
}

// Invalidate records that a lease has expired early: the next call of ID returns another one.
func (s *Shared) Invalidate(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.id == id {
		s.id = 0
	}
}
