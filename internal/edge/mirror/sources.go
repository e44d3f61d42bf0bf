package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/startup"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/position"
)

// ErrStale comes with the items of a node that cannot reach the store: there may be newer items.
var ErrStale = errors.New("stale copy of a node that cannot reach the store")

// errNoSource means that no other node has a usable copy.
var errNoSource = errors.New("no other node has a usable copy")

// copyPolicy selects the copies of other nodes that are accepted, and the nodes that are awaited.
type copyPolicy struct {
	// acceptStale is set if the copy of a node that cannot reach the store is accepted.
	acceptStale bool
	// awaitLoading is set if nodes that have no copy yet, or do not listen yet, are awaited.
	awaitLoading bool
}

// The policies of a start.
var (
	// requireCurrent awaits nodes that are reading the store at the moment.
	requireCurrent = copyPolicy{awaitLoading: true}
	// allowStale accepts any copy immediately. Awaiting a node without a copy is pointless, because
	// it awaits the store itself.
	allowStale = copyPolicy{acceptStale: true}
)

func (p copyPolicy) accepts(offer Offer) bool {
	return offer.State == OfferCurrent || p.acceptStale && offer.State == OfferDisconnected
}

// Planner makes the plan of a start from the announcements of nodes in the store. The announcements
// may be outdated, and are nil if the store could not be read.
type Planner func(nodes []Item) startup.Plan

// SetPlanner sets the planner of the start and the prefix under which nodes are announced. It must
// be called before the first Range. Without a planner the store is read.
func (s *Shared) SetPlanner(prefix string, planner Planner) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodesPrefix, s.planner = prefix, planner
}

// makePlan makes the plan of this start.
func (s *Shared) makePlan(planner Planner, nodes []Item) startup.Plan {
	plan := planner(nodes)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isSource = plan.IsSource
	if !plan.ReadsStore() {
		s.sources = plan.Sources
	}
	return plan
}

// loadInitial loads all items for the first time: from a source, from the store, or, if the store
// does not respond, from a source that cannot reach the store either.
func (s *Shared) loadInitial(ctx context.Context, prefix string) ([]Item, position.Position, error) {
	s.mutex.Lock()
	nodesPrefix, planner := s.nodesPrefix, s.planner
	s.mutex.Unlock()
	if planner == nil {
		return s.readStore(ctx, prefix)
	}
	nodes, storeErr := s.store.Peek(ctx, nodesPrefix)
	if storeErr != nil {
		return s.loadWithoutStore(ctx, s.makePlan(planner, nil), storeErr)
	}
	plan := s.makePlan(planner, nodes)
	if !plan.ReadsStore() {
		items, copied, err := s.copyFromSource(ctx, plan.Sources, requireCurrent)
		if err == nil || ctx.Err() != nil {
			return items, copied, err
		}
	}
	items, read, storeErr := s.readStore(ctx, prefix)
	if storeErr == nil || ctx.Err() != nil {
		return items, read, storeErr
	}
	return s.loadWithoutStore(ctx, plan, storeErr)
}

// loadWithoutStore returns the copy of another node, or the error of the store if no node has one.
func (s *Shared) loadWithoutStore(ctx context.Context, plan startup.Plan, storeErr error) ([]Item, position.Position, error) {
	items, copied, err := s.copyFromSource(ctx, plan.Sources, allowStale)
	if errors.Is(err, errNoSource) {
		return nil, position.Position{}, storeErr
	}
	return items, copied, err
}

// copyFromSource adopts the copy of a source and returns its items. The error is ErrStale, in
// addition to the items, if the source cannot reach the store.
func (s *Shared) copyFromSource(ctx context.Context, sources []netip.AddrPort, policy copyPolicy) ([]Item, position.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.SourcesTimeout)
	defer cancel()
	for source := range s.queryOffers(ctx, sources, policy) {
		sourceCopy, err := s.fetchCopy(ctx, source)
		if err != nil {
			event.Log(s.logger, event.SnapshotCopyFailed{Source: source, Error: err})
			continue
		}
		if !policy.accepts(sourceCopy.Offer) {
			continue
		}
		stale := sourceCopy.State == OfferDisconnected
		s.adopt(sourceCopy, stale)
		event.Log(s.logger, event.SnapshotCopied{Source: source, Revision: sourceCopy.Revision, Era: sourceCopy.Era, Age: s.clock.Now() - sourceCopy.lastContactAt, Stale: stale})
		if stale {
			return sourceCopy.items, sourceCopy.Position(), ErrStale
		}
		return sourceCopy.items, sourceCopy.Position(), nil
	}
	return nil, position.Position{}, errNoSource
}

// peerCopy is the unpacked copy of another node.
type peerCopy struct {
	Offer
	items []Item
	// lastContactAt is the earliest time, on this node's clock, at which the store may have last
	// responded to the other node: the round trip of the request counts as age.
	lastContactAt time.Duration
}

// fetchCopy fetches the copy of one source. A copy that became too old in transit is treated like
// one of a node that cannot reach the store.
func (s *Shared) fetchCopy(ctx context.Context, source netip.AddrPort) (peerCopy, error) {
	requestedAt := s.clock.Now()
	snapshot, err := s.peers.Snapshot(ctx, source)
	if err != nil || snapshot.State == OfferLoading {
		return peerCopy{Offer: snapshot.Offer}, err
	}
	items, err := unpack[Item](snapshot.Packed)
	sourceCopy := peerCopy{Offer: snapshot.Offer, items: items, lastContactAt: requestedAt - snapshot.Age}
	if s.clock.Now()-sourceCopy.lastContactAt > s.config.MaxCopyAge {
		sourceCopy.State = OfferDisconnected
	}
	return sourceCopy, err
}

// adopt takes over the copy of another node as this node's own.
func (s *Shared) adopt(sourceCopy peerCopy, stale bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastContactAt = sourceCopy.lastContactAt
	s.replica.replace(sourceCopy.items, sourceCopy.Position())
	s.restartHistory(sourceCopy.Position())
	if stale {
		s.history.markDisconnected()
	}
}

// queryOffers asks the sources for offers, the first one immediately and each further one after
// another SourceStagger. It sends the sources with an acceptable copy on the channel as they
// respond, and closes the channel when all sources have responded or failed.
func (s *Shared) queryOffers(ctx context.Context, sources []netip.AddrPort, policy copyPolicy) <-chan netip.AddrPort {
	offered := make(chan netip.AddrPort, len(sources))
	var group sync.WaitGroup
	for position, source := range sources {
		group.Go(func() {
			if policy.awaitLoading {
				clock.Sleep(ctx, time.Duration(position)*s.config.SourceStagger)
			}
			if s.awaitOffer(ctx, source, policy) {
				offered <- source
			}
		})
	}
	go func() {
		group.Wait()
		close(offered)
	}()
	return offered
}

// offerRetryDelay returns the delay between two requests to a source that does not listen yet, with
// random jitter. Without jitter, hundreds of nodes connecting at the same moment overflow the
// accept queue, and a dropped connection request is retransmitted only after a second.
func (s *Shared) offerRetryDelay() time.Duration {
	return s.config.OfferRetryDelay/2 + rand.N(s.config.OfferRetryDelay+1)
}

// awaitOffer asks one source until it has a copy, and reports whether the copy is acceptable. It
// gives up on a source that has not responded for StartSpread, within which a process that starts
// at the same time would listen.
func (s *Shared) awaitOffer(ctx context.Context, source netip.AddrPort, policy copyPolicy) bool {
	giveUpAt := time.Now().Add(s.config.StartSpread)
	wait := s.config.OfferTimeout
	if !policy.awaitLoading {
		wait = 0
	}
	for ctx.Err() == nil {
		offerCtx, cancel := context.WithDeadline(ctx, time.Now().Add(s.config.OfferTimeout+s.config.StartSpread))
		offer, err := s.peers.Offer(offerCtx, source, wait)
		cancel()
		switch {
		case err != nil && (!policy.awaitLoading || time.Now().After(giveUpAt)):
			return false
		case err != nil:
			clock.Sleep(ctx, s.offerRetryDelay())
		case offer.State == OfferLoading && policy.awaitLoading:
			giveUpAt = time.Now().Add(s.config.StartSpread)
		default:
			return policy.accepts(offer)
		}
	}
	return false
}
