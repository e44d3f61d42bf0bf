package mirror

import (
	"context"
	"time"

	"github.com/micaplank/micaplank/internal/position"
)

// OfferState is the state of a node's copy of the store.
type OfferState string

// The states of an Offer.
const (
	// OfferCurrent means that the node has a copy and is connected to the store.
	OfferCurrent OfferState = "current"
	// OfferDisconnected means that the node has a copy but cannot reach the store.
	OfferDisconnected OfferState = "lost"
	// OfferLoading means that the node has no copy yet.
	OfferLoading OfferState = "loading"
)

// Offer describes the copy of the store that a node can hand over.
type Offer struct {
	State    OfferState
	Revision uint64
	// Era is the era of the store that Revision belongs to; zero from a node of a version that does
	// not know eras.
	Era uint64
	// Age is the time since the store last responded to the node, directly or through a watcher.
	Age time.Duration
}

// Position returns the position of the copy.
func (o Offer) Position() position.Position {
	return position.Position{Era: o.Era, Revision: o.Revision}
}

// Snapshot is a node's copy of the store.
type Snapshot struct {
	Offer
	// Packed holds all items, in the form of pack.
	Packed []byte
}

// Offer handles the request of a node that starts. Without a copy it waits for one, up to the given
// time.
func (s *Shared) Offer(ctx context.Context, wait time.Duration) Offer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		offer, changed := s.currentOffer(), s.history.changed
		s.mutex.Unlock()
		if offer.State != OfferLoading {
			return offer
		}
		select {
		case <-changed:
		case <-timer.C:
			return offer
		case <-ctx.Done():
			return offer
		}
	}
}

// currentOffer describes the copy as it is now. The caller holds the mutex.
func (s *Shared) currentOffer() Offer {
	if s.replica.items == nil {
		return Offer{State: OfferLoading}
	}
	offer := Offer{State: OfferCurrent, Revision: s.replica.position.Revision, Era: s.replica.position.Era, Age: s.clock.Now() - s.lastContactAt}
	if s.history.disconnected || offer.Age > s.config.MaxCopyAge {
		offer.State = OfferDisconnected
	}
	return offer
}

// Snapshot returns the copy. It is packed once per position.
func (s *Shared) Snapshot() (Snapshot, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	offer := s.currentOffer()
	if offer.State == OfferLoading {
		return Snapshot{Offer: offer}, nil
	}
	if s.packedItems == nil || s.packedPosition != s.replica.position {
		packed, err := pack(s.replica.list())
		if err != nil {
			return Snapshot{}, err
		}
		s.packedItems, s.packedPosition = packed, s.replica.position
	}
	return Snapshot{Offer: offer, Packed: s.packedItems}, nil
}
