// Rule: restart. A query whose pinned snapshot lost a leaf for a needed shard runs again,
// as a whole and once, at a newer snapshot that covers more of its shards than the pinned
// one can still reach, if the time of one attempt is left.
//
// Inputs: shards reachable at the pinned and at the newest suitable snapshot, the work of
// the class (seconds), the deadline.
//
// Reason: rows of two snapshots are not mixed, so a shard that no leaf holds any more at
// the pinned one can only be answered by starting again. Twice could go on for ever while
// versions roll out.
//
// Not measured: that it is done once; chosen because it bounds the extra load of a query.

package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/snapshot"
)

// restart runs the whole query again at a newer snapshot, if that is allowed.
func (d *Dispatcher) restart(q *query) {
	if q.restarted || !q.Class.Repeatable {
		return
	}
	if d.now+time.Duration(q.class.serviceTime*float64(time.Second)) >= q.Deadline {
		return
	}
	index, ok := snapshot.Pick(d.fleet.snapshots, q.need())
	if !ok || !q.snapshot.Less(d.fleet.views[index].snapshot) {
		return
	}
	covered, needed := q.need().Covered(&d.fleet.snapshots[index])
	reachable := q.progress.Total - q.progress.Unavailable
	if covered*q.progress.Total <= reachable*needed {
		return
	}
	executed := d.abortAll(q)
	q.restarted = true
	q.hedging.armed, q.hedging.nextCheckAt = false, 0
	d.counters.Restarts++
	d.pinTo(q, &d.fleet.views[index])
	for position := range q.shards {
		q.shards[position].needsRetry = position < executed
		d.place(q, int32(position))
	}
}
