package node

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/edge/lease"
	"github.com/micaplank/micaplank/internal/event"
)

// write makes one change, and records what the store has then. If it was not done,
// withdraw is called first, with the mutex held; nil for nothing.
func (q *quarantineDriver) write(ctx context.Context, change quarantine.Change, withdraw func()) error {
	current, err := q.writeWithRetry(ctx, change)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Now()
	if err != nil && withdraw != nil {
		withdraw()
	}
	switch {
	case err == nil:
		q.table.Written(now, change, current.Revision)
	case errors.Is(err, ErrOvertaken) && current.Revision == 0:
		q.table.Remove(now, change.Content, math.MaxUint64)
	case errors.Is(err, ErrOvertaken):
		q.table.Set(now, change.Content, current)
	}
	q.metrics.writes.WithLabelValues(writeResult(err)).Inc()
	q.notifyTableChange()
	return err
}

func writeResult(err error) string {
	switch {
	case err == nil:
		return resultWritten
	case errors.Is(err, ErrOvertaken):
		return resultOvertaken
	default:
		return resultFailed
	}
}

// change makes one change. A call without an answer may have been done: another one
// shows it, and then it counts as done.
func (q *quarantineDriver) writeWithRetry(ctx context.Context, change quarantine.Change) (quarantine.Known, error) {
	current, err := q.writeUnderLease(ctx, change)
	if err != nil && !errors.Is(err, ErrOvertaken) && ctx.Err() == nil {
		current, err = q.writeUnderLease(ctx, change)
	}
	if errors.Is(err, ErrOvertaken) && change.Done(current) {
		return current, nil
	}
	return current, err
}

// writeOnce calls the store for one change, under a new lease if the last one is over.
func (q *quarantineDriver) writeUnderLease(ctx context.Context, change quarantine.Change) (quarantine.Known, error) {
	if change.Remove {
		return q.store.WriteQuarantine(ctx, change, 0)
	}
	leaseID, err := q.lease.ID(ctx)
	if err != nil {
		return quarantine.Known{}, err
	}
	current, err := q.store.WriteQuarantine(ctx, change, leaseID)
	if !errors.Is(err, lease.ErrLapsed) {
		return current, err
	}
	q.lease.Invalidate(leaseID)
	if leaseID, err = q.lease.ID(ctx); err != nil {
		return quarantine.Known{}, err
	}
	return q.store.WriteQuarantine(ctx, change, leaseID)
}

func (q *quarantineDriver) wakeWriter() {
	select {
	case q.wake <- struct{}{}:
	default: // it is awake
	}
}

// reviewInterval is the time between two looks at leaves that are said to have crashed.
// Not measured: chosen because it is short beside the time for which a request is held
// whose leaves lived on, 3 s at least.
const reviewInterval = time.Second

// run writes what this node learns, and looks which leaves have lived on, until ctx ends.
func (q *quarantineDriver) run(ctx context.Context) {
	failures := 0
	reviews := time.NewTicker(reviewInterval)
	defer reviews.Stop()
	for {
		select {
		case <-q.wake:
		case <-reviews.C:
			q.reviewSuspects()
			continue
		case <-ctx.Done():
			return
		}
		if q.flush(ctx) {
			failures = 0
			continue
		}
		failures++
		if !clock.Sleep(ctx, min(minBackoff<<min(failures-1, 10), leaseBackoff)) {
			return
		}
		q.wakeWriter()
	}
}

// flush writes what is unwritten. It reports whether nothing is left.
func (q *quarantineDriver) flush(ctx context.Context) bool {
	q.mutex.Lock()
	pending := q.table.Unwritten()
	q.mutex.Unlock()
	for _, content := range pending {
		q.mutex.Lock()
		change, needed := q.table.Change(content)
		q.mutex.Unlock()
		if !needed {
			continue
		}
		if err := q.write(ctx, change, nil); err != nil && !errors.Is(err, ErrOvertaken) && ctx.Err() == nil {
			event.Log(q.logger, event.QuarantineNotWritten{Content: content, Error: err})
			return false
		}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.table.Unwritten()) == 0
}

// replace applies all records of a reading, or some if it is stale.
func (q *quarantineDriver) replace(records map[quarantine.Content]quarantine.Known, stale bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if stale {
		q.table.Merge(q.clock.Now(), records)
	} else {
		q.table.Replace(q.clock.Now(), records)
	}
	q.notifyTableChange()
}

// set applies one record of the store.
func (q *quarantineDriver) set(content quarantine.Content, record quarantine.Known) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.table.Set(q.clock.Now(), content, record) {
		known, _ := q.table.Of(content)
		q.logHeld(content, known)
	}
	q.notifyTableChange()
	q.wakeWriter()
}

// remove removes a record that is gone from the store, as of a revision.
func (q *quarantineDriver) remove(content quarantine.Content, revision uint64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.table.Remove(q.clock.Now(), content, revision) {
		event.Log(q.logger, event.RequestReleased{Content: content})
	}
	q.notifyTableChange()
}

// review looks which leaves have lived on that are said to have crashed.
func (q *quarantineDriver) reviewSuspects() {
	q.mutex.Lock()
	suspects := q.table.Suspects()
	q.mutex.Unlock()
	if len(suspects) == 0 {
		return
	}
	announced := q.announced.announced(suspects) // before the mutex: the view calls with its own held
	q.mutex.Lock()
	defer q.mutex.Unlock()
	survivors := q.table.Review(q.clock.Now(), announced)
	for _, survivor := range survivors {
		q.metrics.survivors.Inc()
		event.Log(q.logger, event.LeafSurvived{Content: survivor.Content, Route: survivor.Route, Leaf: survivor.Leaf})
		if survivor.Released {
			event.Log(q.logger, event.RequestReleased{Content: survivor.Content})
		}
	}
	if len(survivors) > 0 {
		q.notifyTableChange()
		q.wakeWriter()
	}
}

// setStoreAway says whether the store does not answer.
func (q *quarantineDriver) setStoreUnavailable(unavailable bool) {
	q.storeUnavailable.Store(unavailable)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.table.SetStoreAway(q.clock.Now(), unavailable)
}

// setNodes says how many nodes there are. It comes with each topology, and what was
// remembered for long enough is dropped with it.
func (q *quarantineDriver) setNodes(nodes int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.table.SetNodes(nodes)
	q.table.Expire(q.clock.Now())
}
