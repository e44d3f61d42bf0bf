package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

// ErrWatcherLost means that the node that was asked in place of the store has
// lost the store.
var ErrWatcherDisconnected = errors.New("the watcher has lost the store")

// WatchState is the state of a watcher in its answers.
type WatchState string

// The states of a watcher.
const (
	// WatchCurrent means that the answer holds all changes that the watcher has received
	// from the store, and that the store answers it.
	WatchCurrent WatchState = "current"
	// WatchLost means that the watcher has lost the store.
	WatchDisconnected WatchState = "lost"
	// WatchRefused means that the node is no watcher, keeps no history that is old
	// enough, or knows less than the one that asks.
	WatchRefused WatchState = "refused"
)

// Watched is the answer of a watcher.
type Watched struct {
	State  WatchState
	Events []Event
	// Packed holds the events in their place, in the form of pack, if they are
	// large.
	Packed   []byte
	Revision uint64
}

// Watch implements Source. All questions to watchers take no longer than one that
// fails may: then the store is asked.
func (s *Shared) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	deadline := time.Now().Add(s.config.WatchTimeout + s.config.ResponseSlack)
	disconnected := false
	for _, watcher := range s.candidateWatchers() {
		response, err := s.queryWatcher(ctx, watcher, after, deadline)
		if err == nil && response.State == WatchCurrent {
			revision := max(response.Revision, after)
			s.applyFromWatcher(after, response.Events, revision)
			return response.Events, revision, nil
		}
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		if s.backOffWatcher(watcher, response.State == WatchDisconnected) {
			event.Log(s.logger, event.WatcherFailed{Watcher: watcher, State: string(response.State), Error: err})
		}
		disconnected = disconnected || response.State == WatchDisconnected
		if time.Until(deadline) < s.config.WatchTimeout {
			break // a further watcher could not be awaited
		}
	}
	if disconnected && !s.shouldProbe() {
		return nil, 0, ErrWatcherDisconnected
	}
	return s.watchStore(ctx, prefix, after, wait)
}

// probeDue reports whether the store is to be asked although a watcher has lost
// it: it may serve this node, and turn the watchers away. In an outage, that must
// not be a call of each node at each moment.
func (s *Shared) shouldProbe() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case !s.history.disconnected && s.lastFromStore:
		return true // it served this node a moment ago
	case !s.history.disconnected:
		s.nextProbeAt = time.Now().Add(s.probeDelay())
	}
	s.history.markDisconnected()
	if time.Now().Before(s.nextProbeAt) {
		return false
	}
	s.nextProbeAt = time.Now().Add(s.probeDelay())
	return true
}

// probePause returns the pause before the next probe, spread by chance.
func (s *Shared) probeDelay() time.Duration {
	return s.config.ProbeInterval/2 + rand.N(s.config.ProbeInterval+1)
}

// watchesForOthers reports whether other nodes may ask this one for changes: it
// is a watcher, or a source that has started lately.
func (s *Shared) actsAsWatcher() bool {
	return s.isWatcher || s.isSource && s.clock.Now()-s.loadedAt < sourceServiceFactor*s.config.SourcePeriod
}

// sourceTerms is for how many times SharedConfig.SourceTerm a source answers others. Not
// measured: chosen above one because others start later than the sources.
const sourceServiceFactor = 2

// asked returns the nodes to ask for changes.
func (s *Shared) candidateWatchers() []netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.actsAsWatcher() {
		return nil
	}
	candidates := s.watchers
	if s.clock.Now()-s.loadedAt < s.config.SourcePeriod {
		candidates = slices.Concat(s.sources, s.watchers)
	}
	var available, disconnected []netip.AddrPort
	for _, candidate := range candidates {
		switch backoff := s.backoffs[candidate]; {
		case time.Now().After(backoff.until):
			available = append(available, candidate)
		case backoff.disconnected:
			disconnected = append(disconnected, candidate)
		}
	}
	return append(available, disconnected...)
}

func (s *Shared) queryWatcher(ctx context.Context, watcher netip.AddrPort, after uint64, deadline time.Time) (Watched, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	response, err := s.peers.Watch(ctx, watcher, after, s.config.WatchTimeout)
	if err != nil {
		return response, err
	}
	return response.unpack()
}

// pause is why and until when a watcher is not asked.
type watcherBackoff struct {
	until time.Time
	// lost says that it has lost the store. It is asked after the others, so that
	// this node learns when the store is back.
	disconnected bool
}

// pauseWatcher notes that a watcher failed to give a current answer, and reports whether
// that is news.
func (s *Shared) backOffWatcher(watcher netip.AddrPort, disconnected bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	previous := s.backoffs[watcher]
	s.backoffs[watcher] = watcherBackoff{until: time.Now().Add(s.config.WatcherBackoff), disconnected: disconnected}
	return time.Now().After(previous.until) || previous.disconnected != disconnected
}

// follow takes in the answer of a watcher. The history goes on, so that this node can
// become a watcher, but others may not ask it meanwhile: they could ask each other in a
// circle.
func (s *Shared) applyFromWatcher(after uint64, events []Event, revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.serving, s.lastFromStore = false, false
	s.applyChanges(after, events, revision)
}

// take adds the changes after a revision to the copy and the history.
func (s *Shared) applyChanges(after uint64, events []Event, revision uint64) {
	s.lastContactAt = s.clock.Now()
	s.replica.apply(events, revision)
	s.history.append(after, events, revision)
}

// direct watches the store.
func (s *Shared) watchStore(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	s.mutex.Lock()
	if s.serving = s.actsAsWatcher(); s.serving {
		wait = min(wait, s.config.WatchTimeout)
	}
	s.mutex.Unlock()
	events, revision, err := s.store.Watch(ctx, prefix, after, wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case errors.Is(err, ErrCompacted):
		// The range is read next; what differs goes to the followers.
	case err != nil:
		s.history.markDisconnected()
	default:
		s.lastFromStore = true
		s.applyChanges(after, events, max(revision, after))
	}
	return events, revision, err
}
