package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/event"
)

// ErrStale comes with the items of a node that has lost the store: there may be
// newer ones.
var ErrStale = errors.New("the copy of another node, which has lost the store")

// errNoSource means that no other node has a copy that can be used.
var errNoSource = errors.New("no other node has a copy")

// acceptance says which copies of other nodes are taken.
type acceptance bool

const (
	onlyCurrent acceptance = false
	alsoLost    acceptance = true
)

func (a acceptance) takes(offer Offer) bool {
	return offer.State == OfferCurrent || bool(a) && offer.State == OfferLost
}

// SetSources says which other nodes are asked for their copy of the store at the
// start, in the order in which they are asked, and whether this node is one that
// others ask. Such a node reads the store itself. It is called before the first
// Range.
func (s *Shared) SetSources(source bool, others []netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.source = source
	s.sources = others
}

// load reads all items for the first time: from a source, from the store, or, if
// the store does not answer, from a source that has lost it. Sources themselves
// go to the store first, or they would wait for each other.
func (s *Shared) load(ctx context.Context, prefix string) ([]Item, uint64, error) {
	s.mutex.Lock()
	source, others := s.source, s.sources
	s.mutex.Unlock()
	if len(others) == 0 {
		return s.rangeStore(ctx, prefix)
	}
	if !source {
		items, revision, err := s.copyOf(ctx, others, onlyCurrent)
		if err == nil || ctx.Err() != nil {
			return items, revision, err
		}
	}
	items, revision, failure := s.rangeStore(ctx, prefix)
	if failure == nil || ctx.Err() != nil {
		return items, revision, failure
	}
	items, revision, err := s.copyOf(ctx, others, alsoLost)
	if errors.Is(err, errNoSource) {
		return nil, 0, failure
	}
	return items, revision, err
}

// copyOf takes over the copy of a source. Its error is ErrStale, beside the items,
// if the source has lost the store.
func (s *Shared) copyOf(ctx context.Context, sources []netip.AddrPort, accept acceptance) ([]Item, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Patience)
	defer cancel()
	offered := s.survey(ctx, sources, accept)
	for source := range offered {
		asked := time.Now()
		snapshot, err := s.peers.Snapshot(ctx, source)
		if err == nil && !accept.takes(snapshot.Offer) {
			continue
		}
		var items []Item
		if err == nil {
			items, err = unpack[Item](snapshot.Packed)
		}
		if err != nil {
			event.Log(s.logger, event.SourceFailed{Source: source, Error: err})
			continue
		}
		heardAt := asked.Add(-snapshot.Age)
		stale := snapshot.State == OfferLost || time.Since(heardAt) > s.config.Fresh
		if stale && accept == onlyCurrent {
			continue
		}
		s.adopt(items, snapshot.Revision, heardAt, stale)
		event.Log(s.logger, event.SourceUsed{Source: source, Revision: snapshot.Revision, Age: time.Since(heardAt), Stale: stale})
		if stale {
			return items, snapshot.Revision, ErrStale
		}
		return items, snapshot.Revision, nil
	}
	return nil, 0, errNoSource
}

// adopt books the copy of another node as this node's own.
func (s *Shared) adopt(items []Item, revision uint64, heardAt time.Time, stale bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heardAt = heardAt
	s.contents.replace(items, revision)
	s.begin(revision)
	if stale {
		s.history.lose()
	}
}

// survey asks the sources for what they offer, the first one at once and each
// further one a moment later, and returns those with an acceptable copy as they
// answer. The channel is closed when none is left that may have one.
func (s *Shared) survey(ctx context.Context, sources []netip.AddrPort, accept acceptance) <-chan netip.AddrPort {
	offered := make(chan netip.AddrPort, len(sources))
	var asking sync.WaitGroup
	for position, source := range sources {
		asking.Go(func() {
			clock.Sleep(ctx, time.Duration(position)*s.config.Stagger)
			if s.awaitOffer(ctx, source, accept) {
				offered <- source
			}
		})
	}
	go func() {
		asking.Wait()
		close(offered)
	}()
	return offered
}

// offerPause returns the pause between two questions to a source that does not
// listen yet. It is spread by chance: hundreds of nodes that connect in the same
// moment overrun the queue of new connections, and what is dropped there is sent
// again after a second only.
func (s *Shared) offerPause() time.Duration {
	return s.config.OfferPause/2 + rand.N(s.config.OfferPause+1)
}

// awaitOffer asks one source until it has a copy, and reports whether that is
// acceptable. It gives up on one that does not answer for the time in which a
// process that starts at the same time would listen.
func (s *Shared) awaitOffer(ctx context.Context, source netip.AddrPort, accept acceptance) bool {
	silentUntil := time.Now().Add(s.config.StartSpread)
	for ctx.Err() == nil {
		asking, cancel := context.WithDeadline(ctx, time.Now().Add(s.config.OfferWait+s.config.StartSpread))
		offer, err := s.peers.Offer(asking, source, s.config.OfferWait)
		cancel()
		switch {
		case err != nil && time.Now().After(silentUntil):
			return false
		case err != nil:
			clock.Sleep(ctx, s.offerPause())
		case offer.State == OfferLoading:
			silentUntil = time.Now().Add(s.config.StartSpread)
		default:
			return accept.takes(offer)
		}
	}
	return false
}
