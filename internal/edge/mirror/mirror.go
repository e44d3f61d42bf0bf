// Package mirror keeps a process's copy of the items under a prefix of a key-value store:
// it reads the range once and then follows a watch (Mirror). While the store is away the
// copy stays as it is. After a gap in the history the range is read again, and what has
// vanished from it is removed.
//
// Many nodes read one store with few calls (Shared): some of them, the watchers, follow it
// for the others, and a node that starts takes over the copy of another one.
//
// The package owns the copy, the last changes for other nodes (history) and who is asked
// next. It relies on a Store, on Peers for calls between nodes and on a Sink that receives
// what is read. docs/design/0011-platform.md and 0013-starts.md have the measurements.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
)

// ErrCompacted means that the store does not have the changes after a revision any more.
var ErrCompacted = errors.New("history is gone")

// Item is one key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of the last change
	Created  uint64 // revision of the creation
	Lease    uint64 // that the key goes with; zero without one
}

// Event is a change: an item as it was written, or the removal of its key.
type Event struct {
	Item
	Removed bool
}

// Source reads a store. Errors other than ErrCompacted and ErrStale are taken for
// temporary.
type Source interface {
	// Range returns all items under the prefix, read fresh, and a revision
	// such that every change they lack has a higher one. With ErrStale it returns
	// items, too, which are not fresh.
	Range(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch blocks until there are changes after the revision, or for the wait.
	// It returns the changes and the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
}

// Reading says how all items were read.
type Reading struct {
	// Gap is set if changes may have been missed before.
	Gap bool
	// Stale is set if there may be newer items: the store did not answer, and
	// they are the copy of another node.
	Stale bool
}

// Sink receives what is read. Its methods are called one at a time.
type Sink interface {
	// Replace hands over all items there are.
	Replace(items []Item, read Reading)
	// Change hands over changes, in their order. After an outage there may be
	// none: then the items are still those known.
	Change(events []Event)
	// Lost is called once for each outage, when the store does not answer.
	Lost(err error)
	// Regained is called when it answers again, after an outage of some time, before the
	// first answer is handed over.
	Regained(away time.Duration)
}

// Config is the policy of a Mirror.
type Config struct {
	// Prefix is what the keys begin with.
	Prefix string
	// MinBackoff and MaxBackoff bound the pause after an error; it doubles
	// with each error in a row and is spread by chance.
	MinBackoff, MaxBackoff time.Duration
	// Wait is the longest wait of one watch.
	Wait time.Duration
	// Gather is the pause after changes before the next call, so that changes
	// in quick succession come with one call.
	Gather time.Duration
}

// Mirror follows one prefix.
type Mirror struct {
	config Config
	source Source
	sink   Sink

	revision       uint64
	loaded         bool // the range was read at least once
	reload         bool // the range has to be read again
	failures       int
	disconnectedAt time.Time
	// behind is set after an outage until an answer shows that little is left of
	// the changes that were missed.
	catchingUp bool
}

// backlogAnswer is the number of changes in an answer from which more are taken to be
// waiting: a store hands out a backlog in portions. With Gather after each, a node took 2.7
// s for the 180 changes of an outage of 9 s, which came in six.
const backlogThreshold = 8

// New returns a Mirror that has read nothing.
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
	if m.reload {
		return m.loadRange(ctx)
	}
	return m.watch(ctx)
}

func (m *Mirror) loadRange(ctx context.Context) error {
	items, revision, err := m.source.Range(ctx, m.config.Prefix)
	stale := errors.Is(err, ErrStale)
	if err != nil && !stale {
		return err
	}
	if !stale {
		m.recordSuccess()
	}
	m.sink.Replace(items, Reading{Gap: m.loaded, Stale: stale})
	m.revision, m.loaded, m.reload = revision, true, false
	return err
}

func (m *Mirror) watch(ctx context.Context) error {
	events, revision, err := m.source.Watch(ctx, m.config.Prefix, m.revision, m.config.Wait)
	if errors.Is(err, ErrCompacted) {
		m.recordSuccess()
		m.reload = true
		return nil
	}
	if err != nil {
		return err
	}
	reconnected := m.recordSuccess()
	if reconnected || len(events) > 0 {
		m.sink.Change(events)
	}
	m.revision = max(m.revision, revision)
	m.catchingUp = (m.catchingUp || reconnected) && len(events) >= backlogThreshold
	if len(events) > 0 && !m.catchingUp {
		clock.Sleep(ctx, m.config.Gather)
	}
	return nil
}

// failed reports an outage of the store to the sink.
func (m *Mirror) recordFailure(err error) {
	if m.failures == 0 {
		m.disconnectedAt = time.Now()
		m.sink.Lost(err)
	}
	m.failures++
}

// answered reports the end of an outage to the sink, before what the store has answered,
// which the sink may judge by it. It reports whether there was one.
func (m *Mirror) recordSuccess() bool {
	if m.failures == 0 {
		return false
	}
	m.failures = 0
	m.sink.Regained(time.Since(m.disconnectedAt))
	return true
}

func (m *Mirror) backOff(ctx context.Context) {
	backoff := min(m.config.MinBackoff<<min(m.failures-1, 10), m.config.MaxBackoff)
	clock.Sleep(ctx, backoff/2+rand.N(backoff/2+1))
}
