package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/snapshot"
)

// restart runs the whole query again at a newer snapshot, once, if that can
// cover more of it and time is left.
func (d *Dispatcher) restart(q *query) {
	if q.restarted || !q.Class.Repeatable {
		return
	}
	if d.now+time.Duration(q.class.base*float64(time.Second)) >= q.Deadline {
		return
	}
	index, found := snapshot.Pick(d.snapshots, q.need())
	if !found || !q.snapshot.Less(d.views[index].snapshot) {
		return
	}
	covered, needed := q.need().Covered(&d.snapshots[index])
	reachable := q.progress.Total - q.progress.Unavailable
	if covered*q.progress.Total <= reachable*needed {
		return
	}
	executed := d.abandon(q)
	q.restarted = true
	q.hedgesArmed, q.hedgeAt = false, 0
	d.counters.Restarts++
	d.pinTo(q, &d.views[index])
	for position := range q.shards {
		q.shards[position].needsRetry = position < executed
		d.place(q, int32(position))
	}
}
