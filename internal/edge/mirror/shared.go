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
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/position"
)

// Peers calls other nodes. An error means that there was no response.
type Peers interface {
	// Offer asks a node which copy of the store it can hand over. A node without a copy waits for
	// one, up to the given time.
	Offer(ctx context.Context, source netip.AddrPort, wait time.Duration) (Offer, error)
	// Snapshot fetches the copy of a node.
	Snapshot(ctx context.Context, source netip.AddrPort) (Snapshot, error)
	// Watch asks a watcher for the changes after a position.
	Watch(ctx context.Context, watcher netip.AddrPort, after position.Position, wait time.Duration) (WatchResponse, error)
}

// Store is a Source that can also read possibly outdated items at a low cost.
type Store interface {
	Source
	// Peek returns some of the items under a prefix, which may be seconds old. It costs the store
	// less than Range.
	Peek(ctx context.Context, prefix string) ([]Item, error)
}

// SharedConfig is the policy of a Shared.
type SharedConfig struct {
	// WatchTimeout is the longest wait of a request to a watcher, and of a watch of the store by a
	// watcher. It is short because a node that asks a watcher notices an unresponsive store only
	// after the watcher did.
	WatchTimeout time.Duration
	// ResponseSlack is how long after WatchTimeout the response of a watcher may arrive.
	ResponseSlack time.Duration
	// HistoryLength is the number of changes that a watcher keeps.
	HistoryLength int
	// WatcherBackoff is how long a watcher is not asked after it failed to give a current response.
	WatcherBackoff time.Duration
	// ProbeInterval is the mean time between two calls to the store by a node whose watcher cannot
	// reach it. It must be below the time within which nodes have to be reconnected after an
	// outage.
	ProbeInterval time.Duration

	// MaxCopyAge is the age up to which the copy of another node counts as current. A follower
	// receives a response once in WatchTimeout and ResponseSlack.
	MaxCopyAge time.Duration
	// StartSpread is the time within which the processes of a fleet start that starts as a whole. A
	// source that does not respond is asked again for that long. Machines that regain power
	// together start within 0.3 s; with the start of a process on a small machine, it can take
	// 0.5 s.
	StartSpread time.Duration
	// SourceStagger is the delay after which one more source is asked in addition to those that
	// have not offered a copy.
	SourceStagger time.Duration
	// OfferRetryDelay is the mean delay before a source that does not listen yet is asked again.
	OfferRetryDelay time.Duration
	// OfferTimeout is the longest wait of a request to a source without a copy. SourcesTimeout
	// bounds the wait for all sources, before the store is asked.
	OfferTimeout, SourcesTimeout time.Duration
	// SourcePeriod is how long after its start a node asks the sources for changes before the
	// watchers, and the minimum time for which a source serves changes. While a fleet starts, few
	// nodes are known, and the nodes selected as watchers from these do not watch yet.
	SourcePeriod time.Duration
}

// DefaultSharedConfig returns the defaults. WatchTimeout and ResponseSlack together, and
// MaxCopyAge, keep the delay of a change within the allowed 3 s even behind one failing watcher.
// The times that concern the start, and ProbeInterval, come from starts of 295 nodes
// (docs/ROUNDS.md, docs/design/0013-starts.md), and the others follow from these values.
func DefaultSharedConfig() SharedConfig {
	return SharedConfig{
		WatchTimeout: time.Second, ResponseSlack: 600 * time.Millisecond, HistoryLength: 8192, WatcherBackoff: 3 * time.Second, ProbeInterval: 3 * time.Second,
		MaxCopyAge: 2 * time.Second, StartSpread: 700 * time.Millisecond, SourceStagger: 250 * time.Millisecond, OfferRetryDelay: 150 * time.Millisecond,
		OfferTimeout: 250 * time.Millisecond, SourcesTimeout: 2 * time.Second, SourcePeriod: 2 * time.Second,
	}
}

// Shared is a Source for many nodes that follow the same prefix. A few of them, the watchers, watch
// the store; the others ask a watcher, and fall back to the store whenever no watcher has a current
// response. So the calls to the store do not grow with the number of nodes, and a failing watcher
// costs one late response.
//
// A node that starts copies the snapshot of another node, a source, and continues from there. It
// reads the store itself if no source has a current copy.
//
// Shared is safe for concurrent use, except for Range and Watch, which must not overlap.
type Shared struct {
	config SharedConfig
	store  Store
	peers  Peers
	clock  clock.Clock
	logger *slog.Logger

	mutex   sync.Mutex
	replica replica
	history history
	// lastContactAt is when the store last responded to this node, directly or through a watcher,
	// and loadedAt when the replica was first loaded, both on the clock.
	lastContactAt, loadedAt time.Duration

	// Start-up: see startup.Plan.
	nodesPrefix string // prefix under which nodes are announced
	planner     Planner
	isSource    bool
	sources     []netip.AddrPort

	// Following: the nodes that this one asks for changes.
	isWatcher     bool
	watchers      []netip.AddrPort
	backoffs      map[netip.AddrPort]watcherBackoff
	lastFromStore bool      // the last response came from the store itself
	nextProbeAt   time.Time // when the store may be asked next although a watcher cannot reach it
	// restoredSource is a watcher that is in a later era of the store than this node, which copies
	// its snapshot next; invalid if there is none.
	restoredSource netip.AddrPort

	// Serving: what other nodes receive.
	serving        bool   // the current or latest watch of the store is that of a watcher
	packedItems    []byte // the replica at packedPosition, in the form of pack
	packedPosition position.Position
	packedResponse packedEvents // the last response to a follower that was packed
}

// NewShared returns a Shared that asks only the store until SetWatchers is called.
func NewShared(config SharedConfig, store Store, peers Peers, clk clock.Clock, logger *slog.Logger) *Shared {
	return &Shared{
		config: config, store: store, peers: peers, clock: clk, logger: logger,
		backoffs:      make(map[netip.AddrPort]watcherBackoff),
		history:       newHistory(config.HistoryLength),
		lastContactAt: clk.Now(),
	}
}

// Age returns the time since the store last responded to this node, directly or through a watcher.
func (s *Shared) Age() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.clock.Now() - s.lastContactAt
}

// SetWatchers sets which nodes watch the store, in the order in which this node asks them, and
// whether this node is a watcher. Without watchers each node watches the store.
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
func (s *Shared) Range(ctx context.Context, prefix string) ([]Item, position.Position, error) {
	s.mutex.Lock()
	loaded, restoredSource := s.replica.items != nil, s.restoredSource
	s.restoredSource = netip.AddrPort{}
	s.mutex.Unlock()
	switch {
	case !loaded:
		return s.loadInitial(ctx, prefix)
	case restoredSource.IsValid():
		return s.loadRestored(ctx, prefix, restoredSource)
	}
	return s.readStore(ctx, prefix)
}

// loadRestored loads the items of a restored store from a watcher that has them, so that not all
// nodes read the store at the same time. It reads the store if the watcher's copy is unusable.
func (s *Shared) loadRestored(ctx context.Context, prefix string, watcher netip.AddrPort) ([]Item, position.Position, error) {
	sourceCopy, err := s.fetchCopy(ctx, watcher)
	if err != nil || sourceCopy.State != OfferCurrent || sourceCopy.Era <= s.era() {
		return s.readStore(ctx, prefix)
	}
	s.adopt(sourceCopy, false)
	event.Log(s.logger, event.SnapshotCopied{
		Source: watcher, Revision: sourceCopy.Revision, Era: sourceCopy.Era, Age: s.clock.Now() - sourceCopy.lastContactAt,
	})
	return sourceCopy.items, sourceCopy.Position(), nil
}

// era returns the era of the replica.
func (s *Shared) era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica.position.Era
}

// readStore reads all items from the store. Followers of this node receive the difference to its
// previous copy.
func (s *Shared) readStore(ctx context.Context, prefix string) ([]Item, position.Position, error) {
	items, read, err := s.store.Range(ctx, prefix)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.history.markDisconnected()
		return nil, position.Position{}, err
	}
	s.lastContactAt = s.clock.Now()
	if s.replica.items == nil || read.Era != s.replica.position.Era || read.Before(s.replica.position) {
		s.replica.replace(items, read)
		s.restartHistory(read)
		return items, read, nil
	}
	previous, events := s.replica.position, s.replica.diff(items, read)
	s.replica.replace(items, read)
	s.history.appendDiff(previous, events, read)
	return items, read, nil
}

// restartHistory restarts the history at the position of the replica.
func (s *Shared) restartHistory(from position.Position) {
	s.loadedAt = s.clock.Now()
	s.serving = s.actsAsWatcher()
	s.history.restart(from)
}
