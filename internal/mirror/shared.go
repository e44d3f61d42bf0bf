package mirror

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

// ErrWatcherLost means that the node that was asked in place of the store has
// lost the store.
var ErrWatcherLost = errors.New("the watcher has lost the store")

// WatchState is what a watcher says of itself.
type WatchState string

// The states of a watcher.
const (
	// WatchCurrent means that the answer holds all changes that the store has
	// told the watcher, who is in touch with it.
	WatchCurrent WatchState = "current"
	// WatchLost means that the watcher has lost the store.
	WatchLost WatchState = "lost"
	// WatchRefused means that the node is no watcher, or keeps no history that
	// is old enough.
	WatchRefused WatchState = "refused"
)

// Watched is the answer of a watcher.
type Watched struct {
	State    WatchState
	Events   []Event
	Revision uint64
}

// Peers asks other nodes. An error means that there was no answer.
type Peers interface {
	Watch(ctx context.Context, watcher netip.AddrPort, after uint64, wait time.Duration) (Watched, error)
}

// SharedConfig is the policy of a Shared.
type SharedConfig struct {
	// Wait is the longest wait of a question to a watcher, and of a watch of the
	// store by a watcher. It is short: a node that asks a watcher learns of a
	// silent store only after the watcher did.
	Wait time.Duration
	// Slack is how long after Wait the answer of a watcher may come.
	Slack time.Duration
	// History is how many changes a watcher keeps.
	History int
	// Pause is how long a watcher is not asked after it failed to answer well.
	Pause time.Duration
}

// DefaultSharedConfig returns the defaults.
func DefaultSharedConfig() SharedConfig {
	return SharedConfig{Wait: time.Second, Slack: 600 * time.Millisecond, History: 8192, Pause: 3 * time.Second}
}

// Shared is a Source for many nodes that follow the same prefix. A few of them,
// the watchers, watch the store; the others ask a watcher, and turn to the store
// themselves whenever no watcher answers well. So the calls to the store do not
// grow with the nodes, and a watcher that fails costs one late answer. It is
// safe for concurrent use, but for Range and Watch, which must not overlap.
type Shared struct {
	config SharedConfig
	store  Source
	peers  Peers
	logger *slog.Logger

	mutex    sync.Mutex
	watching bool // this node is a watcher
	short    bool // the watch of the store in progress, or the last one, is that of a watcher
	watchers []netip.AddrPort
	paused   map[netip.AddrPort]time.Time
	history  history
	// heardAt is when the store, or a watcher for it, last answered.
	heardAt time.Time
}

// NewShared returns a Source that asks the store alone, until SetWatchers.
func NewShared(config SharedConfig, store Source, peers Peers, logger *slog.Logger) *Shared {
	return &Shared{
		config: config, store: store, peers: peers, logger: logger,
		paused:  make(map[netip.AddrPort]time.Time),
		history: newHistory(config.History),
		heardAt: time.Now(),
	}
}

// Age returns the time since the store, or a watcher for it, last answered.
func (s *Shared) Age() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Since(s.heardAt)
}

// SetWatchers says which nodes watch the store, in the order in which this node
// asks them, and whether it is one of them. Without watchers each node watches
// the store.
func (s *Shared) SetWatchers(watching bool, others []netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watching = watching
	s.watchers = others
	maps.DeleteFunc(s.paused, func(watcher netip.AddrPort, _ time.Time) bool {
		return !slices.Contains(others, watcher)
	})
}

// Range implements Source.
func (s *Shared) Range(ctx context.Context, prefix string) ([]Item, uint64, error) {
	items, revision, err := s.store.Range(ctx, prefix)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.history.lose()
		return nil, 0, err
	}
	s.heardAt = time.Now()
	s.history.begin(revision)
	return items, revision, nil
}

// Watch implements Source.
func (s *Shared) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	for _, watcher := range s.asked() {
		answer, err := s.ask(ctx, watcher, after)
		if err == nil && answer.State == WatchCurrent {
			s.follow()
			return answer.Events, max(answer.Revision, after), nil
		}
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		event.Log(s.logger, event.WatcherFailed{Watcher: watcher, State: string(answer.State), Error: err})
		s.pause(watcher)
		if err != nil {
			break // there is no time to wait for another one
		}
		if answer.State == WatchLost {
			return nil, 0, ErrWatcherLost
		}
	}
	return s.direct(ctx, prefix, after, wait)
}

// asked returns the watchers to ask.
func (s *Shared) asked() []netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.watching {
		return nil
	}
	var asked []netip.AddrPort
	for _, watcher := range s.watchers {
		if time.Now().After(s.paused[watcher]) {
			asked = append(asked, watcher)
		}
	}
	return asked
}

func (s *Shared) ask(ctx context.Context, watcher netip.AddrPort, after uint64) (Watched, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Wait+s.config.Slack)
	defer cancel()
	return s.peers.Watch(ctx, watcher, after, s.config.Wait)
}

func (s *Shared) pause(watcher netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.paused[watcher] = time.Now().Add(s.config.Pause)
}

// follow notes that changes come from a watcher: this node has no history of
// its own for others.
func (s *Shared) follow() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heardAt = time.Now()
	s.history.end()
}

// direct watches the store.
func (s *Shared) direct(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	s.mutex.Lock()
	if s.short = s.watching; s.short {
		wait = min(wait, s.config.Wait)
	}
	s.mutex.Unlock()
	events, revision, err := s.store.Watch(ctx, prefix, after, wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case errors.Is(err, ErrCompacted):
		s.history.end()
	case err != nil:
		s.history.lose()
	default:
		s.heardAt = time.Now()
		s.history.add(after, events, max(revision, after))
	}
	return events, revision, err
}

// Serve answers the question of another node: it blocks until there are changes
// after the revision, or for the wait.
func (s *Shared) Serve(ctx context.Context, after uint64, wait time.Duration) Watched {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		answer, changed := s.history.after(after)
		if !s.short {
			answer = Watched{State: WatchRefused}
		}
		s.mutex.Unlock()
		if answer.State != WatchCurrent || len(answer.Events) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}
