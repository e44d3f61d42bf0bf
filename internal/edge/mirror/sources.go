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
type search struct {
	// lost is set if the copy of a node that has lost the store will do.
	lost bool
	// wait is set if nodes that have no copy yet, or do not listen, are waited for.
	wait bool
}

// The searches of a start.
var (
	// whileStoreAnswers waits for a node that reads the store at this moment.
	whileStoreAnswers = search{wait: true}
	// withoutStore takes what there is. Who has nothing waits for the store, too.
	withoutStore = search{lost: true}
)

func (s search) takes(offer Offer) bool {
	return offer.State == OfferCurrent || s.lost && offer.State == OfferLost
}

// Planner makes the plan of a start from the announcements of nodes in the store.
// They may be old, and are nil if they could not be read.
type Planner func(nodes []Item) startup.Plan

// SetPlanner says who plans the start, and under which prefix nodes are announced.
// It is called before the first Range. Without it the store is read.
func (s *Shared) SetPlanner(prefix string, plan Planner) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodes, s.plan = prefix, plan
}

// planBy makes the plan of this start.
func (s *Shared) planBy(planner Planner, nodes []Item) startup.Plan {
	plan := planner(nodes)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.source = plan.Source
	if !plan.ReadsStore() {
		s.sources = plan.Others
	}
	return plan
}

// load reads all items for the first time: from a source, from the store, or, if
// the store does not answer, from a source that has lost it.
func (s *Shared) load(ctx context.Context, prefix string) ([]Item, uint64, error) {
	s.mutex.Lock()
	announced, planner := s.nodes, s.plan
	s.mutex.Unlock()
	if planner == nil {
		return s.rangeStore(ctx, prefix)
	}
	nodes, failure := s.store.Peek(ctx, announced)
	if failure != nil {
		return s.loadWithoutStore(ctx, s.planBy(planner, nil), failure)
	}
	plan := s.planBy(planner, nodes)
	if !plan.ReadsStore() {
		items, revision, err := s.copyOf(ctx, plan.Others, whileStoreAnswers)
		if err == nil || ctx.Err() != nil {
			return items, revision, err
		}
	}
	items, revision, failure := s.rangeStore(ctx, prefix)
	if failure == nil || ctx.Err() != nil {
		return items, revision, failure
	}
	return s.loadWithoutStore(ctx, plan, failure)
}

// loadWithoutStore takes the copy that another node has, or returns the failure of
// the store.
func (s *Shared) loadWithoutStore(ctx context.Context, plan startup.Plan, failure error) ([]Item, uint64, error) {
	items, revision, err := s.copyOf(ctx, plan.Others, withoutStore)
	if errors.Is(err, errNoSource) {
		return nil, 0, failure
	}
	return items, revision, err
}

// copyOf takes over the copy of a source. Its error is ErrStale, beside the items,
// if the source has lost the store.
func (s *Shared) copyOf(ctx context.Context, sources []netip.AddrPort, by search) ([]Item, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.SourcesTimeout)
	defer cancel()
	for source := range s.survey(ctx, sources, by) {
		got, err := s.fetch(ctx, source)
		if err != nil {
			event.Log(s.logger, event.SourceFailed{Source: source, Error: err})
			continue
		}
		if !by.takes(got.Offer) {
			continue
		}
		stale := got.State == OfferLost
		s.adopt(got, stale)
		event.Log(s.logger, event.SourceUsed{Source: source, Revision: got.Revision, Age: s.clock.Now() - got.heardAt, Stale: stale})
		if stale {
			return got.items, got.Revision, ErrStale
		}
		return got.items, got.Revision, nil
	}
	return nil, 0, errNoSource
}

// fetched is the copy of another node, unpacked.
type fetched struct {
	Offer
	items []Item
	// heardAt is when the store last answered that node, as this one can tell: the
	// way of the question and the answer counts as age.
	heardAt time.Duration
}

// fetch fetches the copy of one source. If it became too old on the way, it is one
// of a node that has lost the store.
func (s *Shared) fetch(ctx context.Context, source netip.AddrPort) (fetched, error) {
	asked := s.clock.Now()
	snapshot, err := s.peers.Snapshot(ctx, source)
	if err != nil || snapshot.State == OfferLoading {
		return fetched{Offer: snapshot.Offer}, err
	}
	items, err := unpack[Item](snapshot.Packed)
	got := fetched{Offer: snapshot.Offer, items: items, heardAt: asked - snapshot.Age}
	if s.clock.Now()-got.heardAt > s.config.Fresh {
		got.State = OfferLost
	}
	return got, err
}

// adopt takes over the copy of another node as this node's own.
func (s *Shared) adopt(got fetched, stale bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heardAt = got.heardAt
	s.contents.replace(got.items, got.Revision)
	s.restart(got.Revision)
	if stale {
		s.history.markLost()
	}
}

// survey asks the sources for what they offer, the first one at once and each
// further one a moment later, and returns those with an acceptable copy as they
// answer. The channel is closed when none is left that may have one.
func (s *Shared) survey(ctx context.Context, sources []netip.AddrPort, by search) <-chan netip.AddrPort {
	offered := make(chan netip.AddrPort, len(sources))
	var asking sync.WaitGroup
	for position, source := range sources {
		asking.Go(func() {
			if by.wait {
				clock.Sleep(ctx, time.Duration(position)*s.config.Stagger)
			}
			if s.awaitOffer(ctx, source, by) {
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
func (s *Shared) awaitOffer(ctx context.Context, source netip.AddrPort, by search) bool {
	silentUntil := time.Now().Add(s.config.StartSpread)
	wait := s.config.OfferWait
	if !by.wait {
		wait = 0
	}
	for ctx.Err() == nil {
		asking, cancel := context.WithDeadline(ctx, time.Now().Add(s.config.OfferWait+s.config.StartSpread))
		offer, err := s.peers.Offer(asking, source, wait)
		cancel()
		switch {
		case err != nil && (!by.wait || time.Now().After(silentUntil)):
			return false
		case err != nil:
			clock.Sleep(ctx, s.offerPause())
		case offer.State == OfferLoading && by.wait:
			silentUntil = time.Now().Add(s.config.StartSpread)
		default:
			return by.takes(offer)
		}
	}
	return false
}
