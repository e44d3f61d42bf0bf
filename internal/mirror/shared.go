package mirror

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
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
	State  WatchState
	Events []Event
	// Packed holds the events in their place, in the form of pack, if they are
	// large.
	Packed   []byte
	Revision uint64
}

// Peers asks other nodes. An error means that there was no answer.
type Peers interface {
	// Offer asks what copy of the store a node could hand over. One that has none
	// waits for it, for a time.
	Offer(ctx context.Context, source netip.AddrPort, wait time.Duration) (Offer, error)
	Snapshot(ctx context.Context, source netip.AddrPort) (Snapshot, error)
	Watch(ctx context.Context, watcher netip.AddrPort, after uint64, wait time.Duration) (Watched, error)
}

// Store is a Source that also tells quickly what there was.
type Store interface {
	Source
	// Peek returns some of the items under a prefix, which may be seconds old. It
	// is cheaper than Range.
	Peek(ctx context.Context, prefix string) ([]Item, error)
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
	// Probe is the mean time between two calls to the store by a node whose watcher
	// has lost it. It is below the time after an outage in which nodes have to be
	// in touch again.
	Probe time.Duration

	// Fresh is the age up to which the copy of another node counts as current: a
	// follower hears of the store once in Wait and Slack.
	Fresh time.Duration
	// StartSpread is the time within which the processes of a fleet start that
	// starts as a whole: for so long a source that does not answer is asked again.
	// Machines that get their power back together start within 0.3 s; with the
	// time to start a process on a small one, 0.5 s were seen.
	StartSpread time.Duration
	// Stagger is the time after which a further source is asked beside those
	// that have offered nothing.
	Stagger time.Duration
	// OfferPause is the mean pause before a source that does not listen yet is
	// asked again.
	OfferPause time.Duration
	// OfferWait is the longest wait of a question to a source without a copy, and
	// Patience bounds the wait for all sources, before the store is asked.
	OfferWait, Patience time.Duration
	// SourceTerm is how long after its start a node asks the sources for changes
	// before the watchers, and how long a source answers at least: of a fleet that
	// starts, few nodes are known at first, and those that come to be watchers by
	// that do not watch yet.
	SourceTerm time.Duration
}

// DefaultSharedConfig returns the defaults.
func DefaultSharedConfig() SharedConfig {
	return SharedConfig{
		Wait: time.Second, Slack: 600 * time.Millisecond, History: 8192, Pause: 3 * time.Second, Probe: 3 * time.Second,
		Fresh: 2 * time.Second, StartSpread: 700 * time.Millisecond, Stagger: 250 * time.Millisecond, OfferPause: 150 * time.Millisecond,
		OfferWait: 250 * time.Millisecond, Patience: 2 * time.Second, SourceTerm: 2 * time.Second,
	}
}

// Shared is a Source for many nodes that follow the same prefix. A few of them,
// the watchers, watch the store; the others ask a watcher, and turn to the store
// themselves whenever no watcher answers well. So the calls to the store do not
// grow with the nodes, and a watcher that fails costs one late answer.
//
// A node that starts takes over the copy of another one, a source, and goes on
// from there; it reads the store itself if no source has a current copy.
//
// It is safe for concurrent use, but for Range and Watch, which must not overlap.
type Shared struct {
	config SharedConfig
	store  Store
	peers  Peers
	logger *slog.Logger

	mutex    sync.Mutex
	watching bool // this node is a watcher
	short    bool // the watch of the store in progress, or the last one, is that of a watcher
	watchers []netip.AddrPort
	paused   map[netip.AddrPort]pause
	nodes    string // prefix under which nodes are announced
	plan     Planner
	source   bool // other nodes ask this one when they start
	sources  []netip.AddrPort
	contents contents
	history  history
	// packed is the contents at the revision packedAt, in the form of pack.
	packed   []byte
	packedAt uint64
	// answered is the last answer to a follower that was packed.
	answered packedEvents
	// byStore says that the last answer came from the store itself.
	byStore bool
	// probeAt is when the store is asked next although a watcher has lost it.
	probeAt time.Time
	// heardAt is when the store, or a watcher for it, last answered, and loadedAt
	// when the contents were first known.
	heardAt, loadedAt time.Time
}

// NewShared returns a Source that asks the store alone, until SetWatchers.
func NewShared(config SharedConfig, store Store, peers Peers, logger *slog.Logger) *Shared {
	return &Shared{
		config: config, store: store, peers: peers, logger: logger,
		paused:  make(map[netip.AddrPort]pause),
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
	maps.DeleteFunc(s.paused, func(watcher netip.AddrPort, _ pause) bool {
		return !slices.Contains(others, watcher) && !slices.Contains(s.sources, watcher)
	})
}

// Range implements Source.
func (s *Shared) Range(ctx context.Context, prefix string) ([]Item, uint64, error) {
	s.mutex.Lock()
	loaded := s.contents.items != nil
	s.mutex.Unlock()
	if !loaded {
		return s.load(ctx, prefix)
	}
	return s.rangeStore(ctx, prefix)
}

// rangeStore reads all items from the store. Nodes that ask this one are told
// what has changed since it last knew them.
func (s *Shared) rangeStore(ctx context.Context, prefix string) ([]Item, uint64, error) {
	items, revision, err := s.store.Range(ctx, prefix)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.history.lose()
		return nil, 0, err
	}
	s.heardAt = time.Now()
	if s.contents.items == nil || revision < s.contents.revision {
		s.contents.replace(items, revision)
		s.begin(revision)
		return items, revision, nil
	}
	before, events := s.contents.revision, s.contents.changes(items, revision)
	s.contents.replace(items, revision)
	s.history.addDifference(before, events, revision)
	return items, revision, nil
}

// begin starts the history anew with the contents.
func (s *Shared) begin(revision uint64) {
	s.loadedAt = time.Now()
	s.short = s.watchesForOthers()
	s.history.begin(revision)
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
		if s.pause(watcher, answer.State == WatchLost) {
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
	s.history.lose()
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
	const late = 2 // times the term: others start later than the sources
	return s.watching || s.source && time.Since(s.loadedAt) < late*s.config.SourceTerm
}

// asked returns the nodes to ask for changes.
func (s *Shared) asked() []netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.watchesForOthers() {
		return nil
	}
	candidates := s.watchers
	if time.Since(s.loadedAt) < s.config.SourceTerm {
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

// pause is why and until when a watcher is left alone.
type pause struct {
	until time.Time
	// lost says that it has lost the store. It is asked after the others, so that
	// this node hears when the store is back.
	lost bool
}

// pause notes that a watcher did not answer well, and reports whether that is
// news.
func (s *Shared) pause(watcher netip.AddrPort, lost bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.paused[watcher]
	s.paused[watcher] = pause{until: time.Now().Add(s.config.Pause), lost: lost}
	return time.Now().After(before.until) || before.lost != lost
}

// follow takes in what a watcher told. The history goes on, so that this node can
// become a watcher, but others may not ask it meanwhile: they could ask each
// other in a circle.
func (s *Shared) follow(after uint64, events []Event, revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.short, s.byStore = false, false
	s.take(after, events, revision)
}

// take books the changes after a revision.
func (s *Shared) take(after uint64, events []Event, revision uint64) {
	s.heardAt = time.Now()
	s.contents.apply(events, revision)
	s.history.add(after, events, revision)
}

// direct watches the store.
func (s *Shared) direct(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	s.mutex.Lock()
	if s.short = s.watchesForOthers(); s.short {
		wait = min(wait, s.config.Wait)
	}
	s.mutex.Unlock()
	events, revision, err := s.store.Watch(ctx, prefix, after, wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case errors.Is(err, ErrCompacted):
		// The range is read next, and tells the others what was missed.
	case err != nil:
		s.history.lose()
	default:
		s.byStore = true
		s.take(after, events, max(revision, after))
	}
	return events, revision, err
}

// Serve answers the question of another node: it blocks until there are changes
// after the revision, or for the wait.
func (s *Shared) Serve(ctx context.Context, after uint64, wait time.Duration) (Watched, error) {
	answer := s.await(ctx, after, wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.answered.of(after, answer)
}

// await blocks until there are changes after a revision, or for the wait.
func (s *Shared) await(ctx context.Context, after uint64, wait time.Duration) Watched {
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
