package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/position"
)

// ErrWatcherDisconnected means that a watcher was asked instead of the store, and that it has lost
// its connection to the store.
var ErrWatcherDisconnected = errors.New("the watcher has lost the store")

// WatchState is the state of a watcher in its responses.
type WatchState string

// The states of a watcher.
const (
	// WatchCurrent means that the store responds to the watcher, and that the response holds all
	// changes that the watcher has received from it.
	WatchCurrent WatchState = "current"
	// WatchDisconnected means that the watcher cannot reach the store.
	WatchDisconnected WatchState = "lost"
	// WatchRefused means that the node is not a watcher, does not keep enough history, or is behind
	// the node that asks.
	WatchRefused WatchState = "refused"
)

// WatchResponse is the response of a watcher.
type WatchResponse struct {
	State  WatchState
	Events []Event
	// Packed replaces Events if the events are large. It holds them in the form of pack.
	Packed   []byte
	Revision uint64
	// Era is the era of the store that Revision belongs to; zero from a node of a version that does
	// not know eras.
	Era uint64
}

// Position returns the position of the watcher.
func (w WatchResponse) Position() position.Position {
	return position.Position{Era: w.Era, Revision: w.Revision}
}

// Watch implements Source. All watchers together get no more time than one failing watcher may
// take; after that the store is asked.
func (s *Shared) Watch(ctx context.Context, prefix string, after position.Position, wait time.Duration) ([]Event, position.Position, error) {
	deadline := time.Now().Add(s.config.WatchTimeout + s.config.ResponseSlack)
	disconnected := false
	for _, watcher := range s.candidateWatchers() {
		response, err := s.queryWatcher(ctx, watcher, after, deadline)
		if err == nil && response.State == WatchCurrent && response.Era == after.Era {
			reached := position.Max(response.Position(), after)
			s.applyFromWatcher(after, response.Events, reached)
			return response.Events, reached, nil
		}
		if ctx.Err() != nil {
			return nil, after, ctx.Err()
		}
		if err == nil && response.Era > after.Era {
			s.setRestoredSource(watcher)
			return nil, after, ErrRestored
		}
		if s.backOffWatcher(watcher, response.State == WatchDisconnected) {
			event.Log(s.logger, event.WatcherFailed{Watcher: watcher, State: string(response.State), Error: err})
		}
		disconnected = disconnected || response.State == WatchDisconnected
		if time.Until(deadline) < s.config.WatchTimeout {
			break // too little time for another watcher to respond
		}
	}
	if disconnected && !s.shouldProbe() {
		return nil, after, ErrWatcherDisconnected
	}
	return s.watchStore(ctx, prefix, after, wait)
}

// setRestoredSource records that a watcher is in a later era of the store than this node.
func (s *Shared) setRestoredSource(watcher netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.restoredSource = watcher
}

// shouldProbe reports whether this node may ask the store although a watcher cannot reach it: the
// store may still serve this node. Probes are rate-limited, so that an outage does not turn into a
// call of each node per watch.
func (s *Shared) shouldProbe() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case !s.history.disconnected && s.lastFromStore:
		return true // the store served this node's last call
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

// probeDelay returns the delay before the next probe, with random jitter.
func (s *Shared) probeDelay() time.Duration {
	return s.config.ProbeInterval/2 + rand.N(s.config.ProbeInterval+1)
}

// actsAsWatcher reports whether other nodes may ask this one for changes: it is a watcher, or a
// source that has started recently.
func (s *Shared) actsAsWatcher() bool {
	return s.isWatcher || s.isSource && s.clock.Now()-s.loadedAt < sourceServiceFactor*s.config.SourcePeriod
}

// sourceServiceFactor is the multiple of SharedConfig.SourcePeriod for which a source serves other
// nodes. It is above one because other nodes start later than the sources.
const sourceServiceFactor = 2

// candidateWatchers returns the nodes to ask for changes, in order.
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

func (s *Shared) queryWatcher(ctx context.Context, watcher netip.AddrPort, after position.Position, deadline time.Time) (WatchResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	response, err := s.peers.Watch(ctx, watcher, after, s.config.WatchTimeout)
	if err != nil {
		return response, err
	}
	return response.unpack()
}

// watcherBackoff holds until when, and why, a watcher is not asked.
type watcherBackoff struct {
	until time.Time
	// disconnected is set if the watcher cannot reach the store. Such a watcher is asked after all
	// others, so that this node notices when the store is back.
	disconnected bool
}

// backOffWatcher records that a watcher did not give a current response. It reports whether that is
// a change of the watcher's state, which is then logged.
func (s *Shared) backOffWatcher(watcher netip.AddrPort, disconnected bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	previous := s.backoffs[watcher]
	s.backoffs[watcher] = watcherBackoff{until: time.Now().Add(s.config.WatcherBackoff), disconnected: disconnected}
	return time.Now().After(previous.until) || previous.disconnected != disconnected
}

// applyFromWatcher applies the response of a watcher. The history continues, so that this node can
// become a watcher. Until then it does not serve other nodes, because nodes could otherwise ask
// each other in a cycle.
func (s *Shared) applyFromWatcher(after position.Position, events []Event, reached position.Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.serving, s.lastFromStore = false, false
	s.applyChanges(after, events, reached)
}

// applyChanges applies the changes after a position to the replica and the history.
func (s *Shared) applyChanges(after position.Position, events []Event, reached position.Position) {
	s.lastContactAt = s.clock.Now()
	s.replica.apply(events, reached)
	s.history.append(after, events, reached)
}

// watchStore watches the store.
func (s *Shared) watchStore(ctx context.Context, prefix string, after position.Position, wait time.Duration) ([]Event, position.Position, error) {
	s.mutex.Lock()
	if s.serving = s.actsAsWatcher(); s.serving {
		wait = min(wait, s.config.WatchTimeout)
	}
	s.mutex.Unlock()
	events, reached, err := s.store.Watch(ctx, prefix, after, wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case errors.Is(err, ErrCompacted), errors.Is(err, ErrRestored):
		// The range is read next. Followers receive the difference, or copy the restored items.
	case err != nil:
		s.history.markDisconnected()
	default:
		s.lastFromStore = true
		s.applyChanges(after, events, position.Max(reached, after))
	}
	return events, reached, err
}
