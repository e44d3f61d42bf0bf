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
)

// ErrStale comes with the items of a node that has lost the store: there may be
// newer ones.
var ErrStale = errors.New("the copy of another node, which has lost the store")

// errNoSource means that no other node has a copy that can be used.
var errNoSource = errors.New("no other node has a copy")

// search says which copies of other nodes are taken, and which nodes are waited for.
type copyPolicy struct {
	// lost is set if the copy of a node that has lost the store will do.
	acceptStale bool
	// wait is set if nodes that have no copy yet, or do not listen, are waited for.
	awaitLoading bool
}

// The searches of a start.
var (
	// whileStoreAnswers waits for a node that reads the store at this moment.
	requireCurrent = copyPolicy{awaitLoading: true}
	// withoutStore takes what there is. Who has nothing waits for the store, too.
	allowStale = copyPolicy{acceptStale: true}
)

func (p copyPolicy) accepts(offer Offer) bool {
	return offer.State == OfferCurrent || p.acceptStale && offer.State == OfferDisconnected
}

// Planner makes the plan of a start from the announcements of nodes in the store.
// They may be old, and are nil if they could not be read.
type Planner func(nodes []Item) startup.Plan

// SetPlanner says who plans the start, and under which prefix nodes are announced.
// It is called before the first Range. Without it the store is read.
func (s *Shared) SetPlanner(prefix string, planner Planner) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodesPrefix, s.planner = prefix, planner
}

// planBy makes the plan of this start.
func (s *Shared) makePlan(planner Planner, nodes []Item) startup.Plan {
	plan := planner(nodes)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isSource = plan.Source
	if !plan.ReadsStore() {
		s.sources = plan.Others
	}
	return plan
}

// load reads all items for the first time: from a source, from the store, or, if
// the store does not answer, from a source that has lost it.
func (s *Shared) loadInitial(ctx context.Context, prefix string) ([]Item, uint64, error) {
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
		items, revision, err := s.copyFromSource(ctx, plan.Others, requireCurrent)
		if err == nil || ctx.Err() != nil {
			return items, revision, err
		}
	}
	items, revision, storeErr := s.readStore(ctx, prefix)
	if storeErr == nil || ctx.Err() != nil {
		return items, revision, storeErr
	}
	return s.loadWithoutStore(ctx, plan, storeErr)
}

// loadWithoutStore takes the copy that another node has, or returns the failure of
// the store.
func (s *Shared) loadWithoutStore(ctx context.Context, plan startup.Plan, storeErr error) ([]Item, uint64, error) {
	items, revision, err := s.copyFromSource(ctx, plan.Others, allowStale)
	if errors.Is(err, errNoSource) {
		return nil, 0, storeErr
	}
	return items, revision, err
}

// copyOf takes over the copy of a source. Its error is ErrStale, beside the items,
// if the source has lost the store.
func (s *Shared) copyFromSource(ctx context.Context, sources []netip.AddrPort, policy copyPolicy) ([]Item, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.SourcesTimeout)
	defer cancel()
	for source := range s.queryOffers(ctx, sources, policy) {
		sourceCopy, err := s.fetchCopy(ctx, source)
		if err != nil {
			event.Log(s.logger, event.SourceFailed{Source: source, Error: err})
			continue
		}
		if !policy.accepts(sourceCopy.Offer) {
			continue
		}
		stale := sourceCopy.State == OfferDisconnected
		s.adopt(sourceCopy, stale)
		event.Log(s.logger, event.SourceUsed{Source: source, Revision: sourceCopy.Revision, Age: s.clock.Now() - sourceCopy.lastContactAt, Stale: stale})
		if stale {
			return sourceCopy.items, sourceCopy.Revision, ErrStale
		}
		return sourceCopy.items, sourceCopy.Revision, nil
	}
	return nil, 0, errNoSource
}

// fetched is the copy of another node, unpacked.
type peerCopy struct {
	Offer
	items []Item
	// heardAt is when the store last answered that node, as this one can tell: the
	// way of the question and the answer counts as age.
	lastContactAt time.Duration
}

// fetch fetches the copy of one source. If it became too old on the way, it is one
// of a node that has lost the store.
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
	s.replica.replace(sourceCopy.items, sourceCopy.Revision)
	s.restartHistory(sourceCopy.Revision)
	if stale {
		s.history.markDisconnected()
	}
}

// survey asks the sources for what they offer, the first one at once and each
// further one a moment later, and returns those with an acceptable copy as they
// answer. The channel is closed when none is left that may have one.
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

// offerPause returns the pause between two questions to a source that does not
// listen yet. It is spread by chance: hundreds of nodes that connect in the same
// moment overrun the queue of new connections, and what is dropped there is sent
// again after a second only.
func (s *Shared) offerRetryDelay() time.Duration {
	return s.config.OfferRetryDelay/2 + rand.N(s.config.OfferRetryDelay+1)
}

// awaitOffer asks one source until it has a copy, and reports whether that is
// acceptable. It gives up on one that does not answer for the time in which a
// process that starts at the same time would listen.
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
