// Package mirror keeps a copy of the items under a key prefix of a key-value store. A Mirror reads
// the range once and then follows a watch. While the store is unreachable, the copy stays as it is.
// After a gap in the history the range is read again, and items that no longer exist are removed.
//
// Shared lets many nodes read one store with few calls. A few nodes, the watchers, watch the store
// and serve its changes to the others. A node that starts copies the snapshot of another node.
//
// The package owns the copy, the recent changes that other nodes ask for (history), and the
// selection of the node to ask next. It relies on a Store, on Peers for calls between nodes, and on
// a Sink that receives what is read. docs/design/0011-platform.md and 0013-starts.md explain the
// design.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/position"
)

// ErrCompacted means that the store no longer has the changes after the requested position.
var ErrCompacted = errors.New("history compacted")

// ErrRestored means that the store was restored from a backup after the requested position, so that
// no list of changes leads from there to its current items.
var ErrRestored = errors.New("store was restored from a backup")

// errEarlierEra means that a response is from before a restore of the store that is already known.
var errEarlierEra = errors.New("response is from before the restore of the store")

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of the last write
	Created  uint64 // of the write that created the key
	Lease    uint64 // the lease that the key is bound to; zero without a lease
	Era      uint64 // of the store in which the item was read
}

// Position returns the position of the last write.
func (i Item) Position() position.Position {
	return position.Position{Era: i.Era, Revision: i.Revision}
}

// CreatedAt returns the position of the write that created the key.
func (i Item) CreatedAt() position.Position {
	return position.Position{Era: i.Era, Revision: i.Created}
}

// Event is a change: a written item, or the removal of a key.
type Event struct {
	Item
	Removed bool
}

// Source reads a store. Errors other than ErrCompacted, ErrRestored and ErrStale are treated as
// temporary.
type Source interface {
	// Range returns all items under the prefix from an up-to-date read, and a position that covers
	// them: changes missing from the items have a later position. With ErrStale it also returns
	// items, which may be outdated.
	Range(ctx context.Context, prefix string) ([]Item, position.Position, error)
	// Watch blocks until there are changes after the position, or until wait has passed. It returns
	// the changes and the position from which to continue, which is of the same era.
	Watch(ctx context.Context, prefix string, after position.Position, wait time.Duration) ([]Event, position.Position, error)
}

// ReadInfo describes how the items of a Replace were read.
type ReadInfo struct {
	// Gap is set if changes before this read may have been missed.
	Gap bool
	// Stale is set if there may be newer items: the store was unreachable, and the items are the
	// copy of another node.
	Stale bool
	// Restored is set if the store was restored from a backup since the previous items: what was
	// written after the backup is missing until its writers have written it again.
	Restored bool
	// From and To are the positions of the previous and of these items.
	From, To position.Position
}

// Sink receives what is read. Its methods are called one at a time.
type Sink interface {
	// Replace receives the complete set of items.
	Replace(items []Item, read ReadInfo)
	// Apply receives changes in order. After an outage it is also called without changes: the
	// items received so far are then still current.
	Apply(events []Event)
	// Disconnected is called once per outage, when the store becomes unreachable.
	Disconnected(err error)
	// Reconnected is called after an outage of the given length when the store responds again,
	// before the first response is passed on.
	Reconnected(away time.Duration)
}

// Config is the policy of a Mirror.
type Config struct {
	// Prefix is the key prefix to follow.
	Prefix string
	// MinBackoff and MaxBackoff bound the backoff after an error. It doubles with each consecutive
	// error and has random jitter.
	MinBackoff, MaxBackoff time.Duration
	// WatchTimeout is the longest duration of one watch call.
	WatchTimeout time.Duration
	// BatchDelay is the delay after a call that returned changes. It batches changes in quick
	// succession into one call.
	BatchDelay time.Duration
	// SettlingTime is the mean time after a restore of the store after which the range is read once
	// more. What is missing then is not written again.
	SettlingTime time.Duration
}

// Mirror follows one prefix.
type Mirror struct {
	config Config
	source Source
	sink   Sink

	position       position.Position
	loaded         bool // the range has been read at least once
	reload         bool // the range must be read again
	failures       int
	disconnectedAt time.Time
	// catchingUp is set after an outage until a response shows that few of the missed changes are
	// left.
	catchingUp bool
	// settledAt is when the range is read once more after a restore; zero if that is not due.
	settledAt time.Time
}

// backlogThreshold is the number of changes in a response from which more changes are expected to
// be pending, because a store returns a backlog in chunks. BatchDelay is skipped between such
// chunks: after an outage of 9 s it would delay the 180 missed changes, which come in six chunks,
// by 2.7 s.
const backlogThreshold = 8

// New returns a Mirror that has not read anything.
func New(config Config, source Source, sink Sink) *Mirror {
	return &Mirror{config: config, source: source, sink: sink, reload: true}
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			m.recordFailure(err)
			m.backOff(ctx)
		}
	}
}

func (m *Mirror) poll(ctx context.Context) error {
	if !m.settledAt.IsZero() && time.Now().After(m.settledAt) {
		m.settledAt, m.reload = time.Time{}, true
	}
	if m.reload {
		return m.loadRange(ctx)
	}
	return m.watch(ctx)
}

func (m *Mirror) loadRange(ctx context.Context) error {
	items, read, err := m.source.Range(ctx, m.config.Prefix)
	stale := errors.Is(err, ErrStale)
	switch {
	case err != nil && !stale:
		return err
	case m.loaded && read.Era < m.position.Era:
		return errEarlierEra
	}
	if !stale {
		m.recordSuccess()
	}
	restored := m.loaded && read.Era > m.position.Era
	m.sink.Replace(items, ReadInfo{Gap: m.loaded, Stale: stale, Restored: restored, From: m.position, To: read})
	m.position, m.loaded, m.reload = read, true, false
	if restored {
		m.settledAt = time.Now().Add(m.config.SettlingTime/2 + rand.N(m.config.SettlingTime+1))
	}
	return err
}

func (m *Mirror) watch(ctx context.Context) error {
	events, reached, err := m.source.Watch(ctx, m.config.Prefix, m.position, m.config.WatchTimeout)
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) {
		m.recordSuccess()
		m.reload = true
		return nil
	}
	if err != nil {
		return err
	}
	reconnected := m.recordSuccess()
	if reconnected || len(events) > 0 {
		m.sink.Apply(events)
	}
	m.position = position.Max(m.position, reached)
	m.catchingUp = (m.catchingUp || reconnected) && len(events) >= backlogThreshold
	if len(events) > 0 && !m.catchingUp {
		clock.Sleep(ctx, m.config.BatchDelay)
	}
	return nil
}

// recordFailure counts an error, and reports the start of an outage to the sink.
func (m *Mirror) recordFailure(err error) {
	if m.failures == 0 {
		m.disconnectedAt = time.Now()
		m.sink.Disconnected(err)
	}
	m.failures++
}

// recordSuccess reports the end of an outage to the sink and returns whether there was one. It must
// be called before the store's response is passed on, because the sink interprets the response by
// whether there was an outage.
func (m *Mirror) recordSuccess() bool {
	if m.failures == 0 {
		return false
	}
	m.failures = 0
	m.sink.Reconnected(time.Since(m.disconnectedAt))
	return true
}

func (m *Mirror) backOff(ctx context.Context) {
	backoff := min(m.config.MinBackoff<<min(m.failures-1, 10), m.config.MaxBackoff)
	clock.Sleep(ctx, backoff/2+rand.N(backoff/2+1))
}
