package mirror

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
)

// Peers asks other nodes. An error means that there was no answer.
type Peers interface {
	// Offer asks what copy of the store a node could hand over. One that has none
	// waits for it, for a time.
	Offer(ctx context.Context, source netip.AddrPort, wait time.Duration) (Offer, error)
	Snapshot(ctx context.Context, source netip.AddrPort) (Snapshot, error)
	Watch(ctx context.Context, watcher netip.AddrPort, after uint64, wait time.Duration) (Watched, error)
}

// Store is a Source that also returns old items at a low cost.
type Store interface {
	Source
	// Peek returns some of the items under a prefix, which may be seconds old. It
	// costs the store less than Range.
	Peek(ctx context.Context, prefix string) ([]Item, error)
}

// SharedConfig is the policy of a Shared.
type SharedConfig struct {
	// Wait is the longest wait of a question to a watcher, and of a watch of the
	// store by a watcher. It is short: a node that asks a watcher learns of a
	// silent store only after the watcher did.
	WatchTimeout time.Duration
	// Slack is how long after Wait the answer of a watcher may come.
	ResponseSlack time.Duration
	// History is how many changes a watcher keeps.
	HistoryLength int
	// Pause is how long a watcher is not asked after it failed to answer well.
	WatcherBackoff time.Duration
	// Probe is the mean time between two calls to the store by a node whose watcher
	// has lost it. It is below the time after an outage in which nodes have to be
	// in touch again.
	ProbeInterval time.Duration

	// Fresh is the age up to which the copy of another node counts as current: a
	// follower receives an answer once in Wait and Slack.
	MaxCopyAge time.Duration
	// StartSpread is the time within which the processes of a fleet start that
	// starts as a whole: for so long a source that does not answer is asked again.
	// Machines that get their power back together start within 0.3 s; with the
	// time to start a process on a small one, 0.5 s were seen.
	StartSpread time.Duration
	// Stagger is the time after which a further source is asked beside those
	// that have offered nothing.
	SourceStagger time.Duration
	// OfferPause is the mean pause before a source that does not listen yet is
	// asked again.
	OfferRetryDelay time.Duration
	// OfferWait is the longest wait of a question to a source without a copy, and
	// SourcesTimeout bounds the wait for all sources, before the store is asked.
	OfferTimeout, SourcesTimeout time.Duration
	// SourceTerm is how long after its start a node asks the sources for changes
	// before the watchers, and how long a source answers at least: of a fleet that
	// starts, few nodes are known at first, and those that come to be watchers by
	// that do not watch yet.
	SourcePeriod time.Duration
}

// DefaultSharedConfig returns the defaults. Wait and Slack together, and Fresh, keep a
// change in force within the 3 s allowed also behind one failing watcher; the times of
// a start come from starts of 295 nodes (docs/ROUNDS.md, docs/design/0013-starts.md); Probe
// of 3 s was kept after trials there. The others are not measured: chosen because they
// follow from these.
func DefaultSharedConfig() SharedConfig {
	return SharedConfig{
		WatchTimeout: time.Second, ResponseSlack: 600 * time.Millisecond, HistoryLength: 8192, WatcherBackoff: 3 * time.Second, ProbeInterval: 3 * time.Second,
		MaxCopyAge: 2 * time.Second, StartSpread: 700 * time.Millisecond, SourceStagger: 250 * time.Millisecond, OfferRetryDelay: 150 * time.Millisecond,
		OfferTimeout: 250 * time.Millisecond, SourcesTimeout: 2 * time.Second, SourcePeriod: 2 * time.Second,
	}
}

// Shared is a Source for many nodes that follow the same prefix. A few of them,
// the watchers, watch the store; the others ask a watcher, and turn to the store
// themselves whenever no watcher has a current answer. So the calls to the store do not
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
	clock  clock.Clock
	logger *slog.Logger

	mutex   sync.Mutex
	replica replica
	history history
	// heardAt is when the store, or a watcher for it, last answered, and loadedAt
	// when the contents were first known, on the clock.
	lastContactAt, loadedAt time.Duration

	// The start: see startup.Plan.
	nodesPrefix string // prefix under which nodes are announced
	planner     Planner
	isSource    bool
	sources     []netip.AddrPort

	// Following: whom this node asks for changes.
	isWatcher     bool // this node is a watcher
	watchers      []netip.AddrPort
	backoffs      map[netip.AddrPort]watcherBackoff
	lastFromStore bool      // the last answer came from the store itself
	nextProbeAt   time.Time // when the store is asked next although a watcher has lost it

	// Serving: what other nodes receive.
	serving        bool   // the watch of the store in progress, or the last one, is that of a watcher
	packedItems    []byte // the contents at the revision packedAt, in the form of pack
	packedRevision uint64
	packedResponse packedEvents // the last answer to a follower that was packed
}

// NewShared returns a Source that asks the store alone, until SetWatchers.
func NewShared(config SharedConfig, store Store, peers Peers, clk clock.Clock, logger *slog.Logger) *Shared {
	return &Shared{
		config: config, store: store, peers: peers, clock: clk, logger: logger,
		backoffs:      make(map[netip.AddrPort]watcherBackoff),
		history:       newHistory(config.HistoryLength),
		lastContactAt: clk.Now(),
	}
}

// Age returns the time since the store, or a watcher for it, last answered.
func (s *Shared) Age() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.clock.Now() - s.lastContactAt
}

// SetWatchers says which nodes watch the store, in the order in which this node
// asks them, and whether it is one of them. Without watchers each node watches
// the store.
func (s *Shared) SetWatchers(watching bool, others []netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isWatcher = watching
	s.watchers = others
	maps.DeleteFunc(s.backoffs, func(watcher netip.AddrPort, _ watcherBackoff) bool {
		return !slices.Contains(others, watcher) && !slices.Contains(s.sources, watcher)
	})
}

// Range implements Source.
func (s *Shared) Range(ctx context.Context, prefix string) ([]Item, uint64, error) {
	s.mutex.Lock()
	loaded := s.replica.items != nil
	s.mutex.Unlock()
	if !loaded {
		return s.loadInitial(ctx, prefix)
	}
	return s.readStore(ctx, prefix)
}

// rangeStore reads all items from the store. Nodes that ask this one receive what has
// changed since its former copy.
func (s *Shared) readStore(ctx context.Context, prefix string) ([]Item, uint64, error) {
	items, revision, err := s.store.Range(ctx, prefix)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.history.markDisconnected()
		return nil, 0, err
	}
	s.lastContactAt = s.clock.Now()
	if s.replica.items == nil || revision < s.replica.revision {
		s.replica.replace(items, revision)
		s.restartHistory(revision)
		return items, revision, nil
	}
	previous, events := s.replica.revision, s.replica.diff(items, revision)
	s.replica.replace(items, revision)
	s.history.appendDiff(previous, events, revision)
	return items, revision, nil
}

// restart restarts the history with the contents.
func (s *Shared) restartHistory(revision uint64) {
	s.loadedAt = s.clock.Now()
	s.serving = s.actsAsWatcher()
	s.history.restart(revision)
}
