package dissemination

import (
	"math"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Current returns the node's catalog. Callers must not modify it.
func (s *Service) Current() *catalog.Catalog { return s.current.Load() }

// Fresh reports whether this node may act now. Callers must call it immediately before the action:
// it reads the clock, because the process may have been suspended.
func (s *Service) Fresh() bool { return s.FreshFor() > 0 }

// FreshFor returns how long this node may continue to serve without another confirmation. The node
// must not serve if the result is zero or negative.
func (s *Service) FreshFor() time.Duration {
	until := s.freshUntil.Load()
	if until == math.MinInt64 {
		return 0
	}
	return time.Duration(until) - s.clock.Now()
}

// Superseded reports that a newer process has taken over this node's voter slot. This process never
// serves again and should exit.
func (s *Service) Superseded() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Superseded()
}

// MajorityHeldAt returns the latest clock reading such that a majority of the voters have answered
// requests sent then or later with at least the given revision, and whether such a reading exists.
// If this node is a voter, the result for revision 0 is the last time at which the voter slot
// provably belonged to this process. In contrast to the times in PeerRevisions, the result remains
// a proof after a suspension or a delay.
func (s *Service) MajorityHeldAt(revision uint64) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.MajorityHeldAt(s.clock.Now(), revision)
}

// PeerRevisions returns the known revisions of the members.
func (s *Service) PeerRevisions() []PeerRevision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.PeerRevisions()
}

// Subscribe returns a channel of new catalogs and a function that ends the subscription. A slow
// reader receives only the newest catalog. The channel is closed by that function and by Close.
func (s *Service) Subscribe() (<-chan *catalog.Catalog, func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	catalogs := make(chan *catalog.Catalog, 1)
	if s.closed {
		close(catalogs)
		return catalogs, func() {}
	}
	catalogs <- s.core.Catalog()
	s.lastSubscriberID++
	id := s.lastSubscriberID
	s.subscribers[id] = catalogs
	return catalogs, func() { s.unsubscribe(id) }
}

func (s *Service) unsubscribe(id int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if subscriber, ok := s.subscribers[id]; ok {
		close(subscriber)
		delete(s.subscribers, id)
	}
}

// deliverLatest replaces a catalog that the subscriber has not received yet by the newest one.
func deliverLatest(subscriber chan *catalog.Catalog, latest *catalog.Catalog) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- latest
}
