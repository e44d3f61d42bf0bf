package dissemination

import (
	"math"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Current returns the catalog that this node holds. It must not be modified.
func (s *Service) Current() *catalog.Catalog { return s.current.Load() }

// Fresh says whether this node may act now. Ask directly before the act: it
// reads the clock, because the process may have been frozen.
func (s *Service) Fresh() bool { return s.FreshFor() > 0 }

// FreshFor returns how long this node may serve on unless it is confirmed
// again; zero or less if it may not.
func (s *Service) FreshFor() time.Duration {
	until := s.freshUntil.Load()
	if until == math.MinInt64 {
		return 0
	}
	return time.Duration(until) - s.clock.Now()
}

// Superseded says that a newer process has taken over this node's voter slot.
// This one never serves again and should exit.
func (s *Service) Superseded() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Superseded()
}

// HeldAt returns the latest reading of the clock such that a majority of the
// voters have answered requests sent then or later with at least a revision, and
// whether there is one. With revision 0 it dates the last moment at which the
// voter slot of this node, if it holds one, was certainly its own. Unlike the
// times of PeerRevisions it is proof after a freeze or a delay.
func (s *Service) HeldAt(revision uint64) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.HeldAt(s.clock.Now(), revision)
}

// PeerRevisions returns what is known of the members' revisions.
func (s *Service) PeerRevisions() []PeerRevision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.PeerRevisions()
}

// Subscribe returns a channel of new catalogs and a function that ends the
// subscription. A reader that lags gets only the newest. The channel is closed
// by that function and by Close.
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

// offer replaces what a subscriber has not taken yet by the newest catalog.
func deliverLatest(subscriber chan *catalog.Catalog, latest *catalog.Catalog) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- latest
}
