package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/edge/lease"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/position"
)

// write makes one change in the store and applies the resulting record to the table. If the change
// fails, write calls withdraw first, with the mutex held; withdraw may be nil.
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
		q.table.MarkWritten(now, change, current.Written)
	case errors.Is(err, ErrConflict) && current.Written.IsZero():
		q.table.Forget(now, change.Content)
	case errors.Is(err, ErrConflict):
		q.table.ApplyStored(now, change.Content, current)
	}
	q.metrics.writes.WithLabelValues(writeResult(err)).Inc()
	q.notifyTableChange()
	return err
}

func writeResult(err error) string {
	switch {
	case err == nil:
		return resultWritten
	case errors.Is(err, ErrConflict):
		return resultOvertaken
	default:
		return resultFailed
	}
}

// writeWithRetry makes one change. A call that returned an error may have been carried out; a
// second call reveals that, and the change then counts as done.
func (q *quarantineDriver) writeWithRetry(ctx context.Context, change quarantine.Change) (quarantine.StoredRecord, error) {
	current, err := q.writeUnderLease(ctx, change)
	if err != nil && !errors.Is(err, ErrConflict) && ctx.Err() == nil {
		current, err = q.writeUnderLease(ctx, change)
	}
	if errors.Is(err, ErrConflict) && change.AppliedIn(current) {
		return current, nil
	}
	return current, err
}

// writeUnderLease writes one change to the store, under a new lease if the last one has expired.
func (q *quarantineDriver) writeUnderLease(ctx context.Context, change quarantine.Change) (quarantine.StoredRecord, error) {
	if change.Remove {
		return q.store.WriteQuarantine(ctx, change, 0)
	}
	leaseID, err := q.lease.ID(ctx)
	if err != nil {
		return quarantine.StoredRecord{}, err
	}
	current, err := q.store.WriteQuarantine(ctx, change, leaseID)
	if !errors.Is(err, lease.ErrExpired) {
		return current, err
	}
	q.lease.Invalidate(leaseID)
	if leaseID, err = q.lease.ID(ctx); err != nil {
		return quarantine.StoredRecord{}, err
	}
	return q.store.WriteQuarantine(ctx, change, leaseID)
}

func (q *quarantineDriver) wakeWriter() {
	select {
	case q.wake <- struct{}{}:
	default: // the writer is already signalled
	}
}

// reviewInterval is the time between two checks whether leaves that were reported as crashed are
// still announced. It is short compared with the 3 s or more for which a request is held although
// its leaves survived.
const reviewInterval = time.Second

// run writes the changes that this node makes and reviews the suspected leaves, until ctx ends.
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

// flush writes all pending changes. It reports whether none is left.
func (q *quarantineDriver) flush(ctx context.Context) bool {
	q.mutex.Lock()
	pending := q.table.PendingWrites()
	q.mutex.Unlock()
	for _, content := range pending {
		q.mutex.Lock()
		change, needed := q.table.PendingChange(content)
		q.mutex.Unlock()
		if !needed {
			continue
		}
		if err := q.write(ctx, change, nil); err != nil && !errors.Is(err, ErrConflict) && ctx.Err() == nil {
			event.Log(q.logger, event.QuarantineNotWritten{Content: content, Error: err})
			return false
		}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.table.PendingWrites()) == 0
}

// rewriteSpread is the time within which the nodes write again what a restored store has lost. Most
// of them find that another node has done so.
const rewriteSpread = 2 * time.Second

// replace applies the records of a full read. A stale read may lack records, so its records are
// merged.
func (q *quarantineDriver) replace(records map[quarantine.Content]quarantine.StoredRecord, read mirror.ReadInfo) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	switch {
	case read.Stale:
		q.table.ApplySome(q.clock.Now(), records)
	case read.Restored:
		q.lease.Reset()
		q.table.ApplyRestored(q.clock.Now(), records)
		time.AfterFunc(rand.N(rewriteSpread), q.wakeWriter)
	default:
		q.table.ApplyAll(q.clock.Now(), records)
	}
	q.notifyTableChange()
}

// set applies one record of the store.
func (q *quarantineDriver) set(content quarantine.Content, record quarantine.StoredRecord) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.table.ApplyStored(q.clock.Now(), content, record) {
		merged, _ := q.table.Lookup(content)
		q.logHeld(content, merged)
	}
	q.notifyTableChange()
	q.wakeWriter()
}

// remove applies the removal of a record from the store at a position.
func (q *quarantineDriver) remove(content quarantine.Content, removed position.Position) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.table.Remove(q.clock.Now(), content, removed) {
		event.Log(q.logger, event.RequestReleased{Content: content})
	}
	q.notifyTableChange()
}

// reviewSuspects finds the leaves that were reported as crashed but are still announced.
func (q *quarantineDriver) reviewSuspects() {
	q.mutex.Lock()
	suspects := q.table.UnresolvedLeaves()
	q.mutex.Unlock()
	if len(suspects) == 0 {
		return
	}
	// The call precedes the locking of q.mutex, since the view calls this driver with its own mutex
	// held.
	announced := q.announced.findAnnounced(suspects)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	survivors := q.table.DetectSurvivors(q.clock.Now(), announced)
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

// setStoreUnavailable records whether the store fails to answer.
func (q *quarantineDriver) setStoreUnavailable(unavailable bool) {
	q.storeUnavailable.Store(unavailable)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.table.SetStoreUnavailable(q.clock.Now(), unavailable)
}

// setNodes sets the number of nodes. It is called with each topology, and also expires old entries.
func (q *quarantineDriver) setNodes(nodes int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.table.SetNodes(nodes)
	q.table.Expire(q.clock.Now())
}
