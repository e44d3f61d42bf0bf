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
var ErrWatcherLost = errors.New("the watcher has lost the store")

// WatchState is the state of a watcher in its answers.
type WatchState string

// The states of a watcher.
const (
	// WatchCurrent means that the answer holds all changes that the watcher has received
	// from the store, and that the store answers it.
	WatchCurrent WatchState = "current"
	// WatchLost means that the watcher has lost the store.
	WatchLost WatchState = "lost"
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
	until := time.Now().Add(s.config.Wait + s.config.Slack)
	lost := false
	for _, watcher := range s.asked() {
		answer, err := s.ask(ctx, watcher, after, until)
		if err == nil && answer.State == WatchCurrent {
			revision := max(answer.Revision, after)
			s.follow(after, answer.Events, revision)
			return answer.Events, revision, nil
		}
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		if s.pauseWatcher(watcher, answer.State == WatchLost) {
			event.Log(s.logger, event.WatcherFailed{Watcher: watcher, State: string(answer.State), Error: err})
		}
		lost = lost || answer.State == WatchLost
		if time.Until(until) < s.config.Wait {
			break // a further watcher could not be awaited
		}
	}
	if lost && !s.probeDue() {
		return nil, 0, ErrWatcherLost
	}
	return s.direct(ctx, prefix, after, wait)
}

// probeDue reports whether the store is to be asked although a watcher has lost
// it: it may serve this node, and turn the watchers away. In an outage, that must
// not be a call of each node at each moment.
func (s *Shared) probeDue() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case !s.history.lost && s.byStore:
		return true // it served this node a moment ago
	case !s.history.lost:
		s.probeAt = time.Now().Add(s.probePause())
	}
	s.history.markLost()
	if time.Now().Before(s.probeAt) {
		return false
	}
	s.probeAt = time.Now().Add(s.probePause())
	return true
}

// probePause returns the pause before the next probe, spread by chance.
func (s *Shared) probePause() time.Duration {
	return s.config.Probe/2 + rand.N(s.config.Probe+1)
}

// watchesForOthers reports whether other nodes may ask this one for changes: it
// is a watcher, or a source that has started lately.
func (s *Shared) watchesForOthers() bool {
	return s.watching || s.source && s.clock.Now()-s.loadedAt < sourceTerms*s.config.SourceTerm
}

// sourceTerms is for how many times SharedConfig.SourceTerm a source answers others. Not
// measured: chosen above one because others start later than the sources.
const sourceTerms = 2

// asked returns the nodes to ask for changes.
func (s *Shared) asked() []netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.watchesForOthers() {
		return nil
	}
	candidates := s.watchers
	if s.clock.Now()-s.loadedAt < s.config.SourceTerm {
		candidates = slices.Concat(s.sources, s.watchers)
	}
	var well, lost []netip.AddrPort
	for _, candidate := range candidates {
		switch paused := s.paused[candidate]; {
		case time.Now().After(paused.until):
			well = append(well, candidate)
		case paused.lost:
			lost = append(lost, candidate)
		}
	}
	return append(well, lost...)
}

func (s *Shared) ask(ctx context.Context, watcher netip.AddrPort, after uint64, until time.Time) (Watched, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	answer, err := s.peers.Watch(ctx, watcher, after, s.config.Wait)
	if err != nil {
		return answer, err
	}
	return answer.unpacked()
}

// pause is why and until when a watcher is not asked.
type pause struct {
	until time.Time
	// lost says that it has lost the store. It is asked after the others, so that
	// this node learns when the store is back.
	lost bool
}

// pauseWatcher notes that a watcher failed to give a current answer, and reports whether
// that is news.
func (s *Shared) pauseWatcher(watcher netip.AddrPort, lost bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.paused[watcher]
	s.paused[watcher] = pause{until: time.Now().Add(s.config.Pause), lost: lost}
	return time.Now().After(before.until) || before.lost != lost
}

// follow takes in the answer of a watcher. The history goes on, so that this node can
// become a watcher, but others may not ask it meanwhile: they could ask each other in a
// circle.
func (s *Shared) follow(after uint64, events []Event, revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.serves, s.byStore = false, false
	s.take(after, events, revision)
}

// take adds the changes after a revision to the copy and the history.
func (s *Shared) take(after uint64, events []Event, revision uint64) {
	s.heardAt = s.clock.Now()
	s.contents.apply(events, revision)
	s.history.add(after, events, revision)
}

// direct watches the store.
func (s *Shared) direct(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	s.mutex.Lock()
	if s.serves = s.watchesForOthers(); s.serves {
		wait = min(wait, s.config.Wait)
	}
	s.mutex.Unlock()
	events, revision, err := s.store.Watch(ctx, prefix, after, wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case errors.Is(err, ErrCompacted):
		// The range is read next; what differs goes to the followers.
	case err != nil:
		s.history.markLost()
	default:
		s.byStore = true
		s.take(after, events, max(revision, after))
	}
	return events, revision, err
}
