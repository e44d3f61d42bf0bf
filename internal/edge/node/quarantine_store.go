package node

import (
	"context"
	"errors"
	"math"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/edge/lease"
	"github.com/micaplank/micaplank/internal/event"
)

// write makes one change, and takes in what the store has then. If it was not done,
// withdraw is called first, under the guard; nil for nothing.
func (q *quarantined) write(ctx context.Context, change quarantine.Change, withdraw func()) error {
	current, err := q.change(ctx, change)
	q.guard.Lock()
	defer q.guard.Unlock()
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
	q.counts.writes.WithLabelValues(resultOf(err)).Inc()
	q.show()
	return err
}

func resultOf(err error) string {
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
// tells, and then it counts as done.
func (q *quarantined) change(ctx context.Context, change quarantine.Change) (quarantine.Known, error) {
	current, err := q.ask(ctx, change)
	if err != nil && !errors.Is(err, ErrOvertaken) && ctx.Err() == nil {
		current, err = q.ask(ctx, change)
	}
	if errors.Is(err, ErrOvertaken) && change.Done(current) {
		return current, nil
	}
	return current, err
}

// ask asks the store for one change, under a new lease if the last one is over.
func (q *quarantined) ask(ctx context.Context, change quarantine.Change) (quarantine.Known, error) {
	if change.Remove {
		return q.ports.Quarantine.WriteQuarantine(ctx, change, 0)
	}
	under, err := q.lease.ID(ctx)
	if err != nil {
		return quarantine.Known{}, err
	}
	current, err := q.ports.Quarantine.WriteQuarantine(ctx, change, under)
	if !errors.Is(err, lease.ErrLapsed) {
		return current, err
	}
	q.lease.Lapsed(under)
	if under, err = q.lease.ID(ctx); err != nil {
		return quarantine.Known{}, err
	}
	return q.ports.Quarantine.WriteQuarantine(ctx, change, under)
}

func (q *quarantined) wakeWriter() {
	select {
	case q.wake <- struct{}{}:
	default: // it is awake
	}
}

// run writes what this node learns, until ctx ends.
func (q *quarantined) run(ctx context.Context) {
	failures := 0
	for {
		select {
		case <-q.wake:
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
func (q *quarantined) flush(ctx context.Context) bool {
	q.guard.Lock()
	pending := q.table.Unwritten()
	q.guard.Unlock()
	for _, content := range pending {
		q.guard.Lock()
		change, wanted := q.table.Change(content)
		q.guard.Unlock()
		if !wanted {
			continue
		}
		if err := q.write(ctx, change, nil); err != nil && !errors.Is(err, ErrOvertaken) && ctx.Err() == nil {
			event.Log(q.logger, event.QuarantineNotWritten{Content: content, Error: err})
			return false
		}
	}
	q.guard.Lock()
	defer q.guard.Unlock()
	return len(q.table.Unwritten()) == 0
}

// replace takes in all records of a reading, or some if it is stale.
func (q *quarantined) replace(items map[quarantine.Content]quarantine.Known, stale bool) {
	q.guard.Lock()
	defer q.guard.Unlock()
	if stale {
		q.table.Merge(q.clock.Now(), items)
	} else {
		q.table.Replace(q.clock.Now(), items)
	}
	q.show()
}

// set takes in one record of the store.
func (q *quarantined) set(content quarantine.Content, stored quarantine.Known) {
	q.guard.Lock()
	defer q.guard.Unlock()
	if q.table.Set(q.clock.Now(), content, stored) {
		known, _ := q.table.Of(content)
		q.logHeld(content, known)
	}
	q.show()
	q.wakeWriter()
}

// remove takes in that a record is gone from the store, as of a revision.
func (q *quarantined) remove(content quarantine.Content, revision uint64) {
	q.guard.Lock()
	defer q.guard.Unlock()
	if q.table.Remove(q.clock.Now(), content, revision) {
		event.Log(q.logger, event.RequestReleased{Content: content})
	}
	q.show()
}

// setNodes says how many nodes there are. It comes with each topology, and what was
// remembered for long enough is dropped with it.
func (q *quarantined) setNodes(nodes int) {
	q.guard.Lock()
	defer q.guard.Unlock()
	q.table.SetNodes(nodes)
	q.table.Expire(q.clock.Now())
}
