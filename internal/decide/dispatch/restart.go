// Rule: restart. A query is restarted as a whole, at most once, if its pinned snapshot has lost the
// last leaf of a needed shard, a newer snapshot covers more of its shards than the pinned one can
// still reach, and the time of one attempt remains.
//
// Inputs: shards reachable at the pinned snapshot and at the newest suitable one, the service time
// of the class (seconds), the deadline.
//
// Reason: the rows of two snapshots are not mixed, so a shard that no leaf holds any more at the
// pinned snapshot can be answered only by a restart. More than one restart could repeat without end
// while versions roll out; the limit also bounds the extra load of a query.

package dispatch

import "github.com/micaplank/micaplank/internal/decide/snapshot"

// restart runs the whole query again at a newer snapshot if the rule permits it.
func (d *Dispatcher) restart(q *query) {
	if q.restarted || !q.Class.Repeatable {
		return
	}
	if d.now+seconds(q.class.serviceTime) >= q.Deadline || d.tooLateForStop(q) {
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
