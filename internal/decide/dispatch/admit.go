// Rule: admission. A query is refused immediately if it cannot be served at all, or if its
// predicted wait and service time exceed the part of its remaining time that admission.Config
// allows. A query cannot be served if the service is stopped, its deadline has passed, there is no
// snapshot, or too few of its shards have a leaf that is not down. The predicted wait is that of
// the query's slowest shard: for each class of equal or higher urgency, the waiting work divided by
// the rate at which such work was sent recently or fits into free slots.
//
// Inputs: waiting work by class (seconds of one slot), rates of work sent (seconds of work per
// second), slots not used by other nodes, slowness (ratio), time until the deadline and until the
// promotion of the query, saturation (share of slots in use).
//
// Reason: a caller that is refused immediately can retry elsewhere or later. A query that waits
// until its deadline has lost its time, and any attempts for it were wasted work on the leaves. At
// 150 % load, 0.22 to 0.33 of the urgent queries get a complete answer without admission and all of
// them with it, and the 99th percentile of the time of a refusal is over 1 s without and below 1 ms
// with it. The predicted wait ends at the promotion, because otherwise the prediction refuses
// queries that would be served while a version rolls out.

package dispatch

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/admission"
)

// rejectReason returns the reason why a query cannot be accepted, or ReasonNone.
func (d *Dispatcher) rejectReason(q *query) Reason {
	switch {
	case d.fleet.topology.Stopped:
		return ReasonStopped
	case q.Deadline <= d.now:
		return d.deadlineReason(q)
	case len(d.fleet.views) == 0:
		return ReasonNoSnapshot
	default:
		return ReasonNone
	}
}

// reject ends a query that was not accepted.
func (d *Dispatcher) reject(q *query, reason Reason) {
	d.counters.NotRun++
	d.actions = append(d.actions, Finish{Query: q.ID, Outcome: OutcomeNotRun, Reason: reason})
}

// coverageAttainable reports whether enough shards have a leaf that is not down to reach the
// minimum coverage of the query. Attempts for any other query would be wasted work.
func (d *Dispatcher) coverageAttainable(q *query) bool {
	if !d.config.RequireCoverage {
		return true
	}
	reachable := q.progress
	for position := range q.shards {
		if group := q.shards[position].group; group == nil || d.isDown(group) {
			reachable.Unavailable++
		}
	}
	return reachable.CanMeetMinimum(q.MinimumCoverage)
}

// admit predicts the wait of the query's slowest shard and reports whether the query is admitted.
func (d *Dispatcher) admit(q *query) (time.Duration, bool) {
	urgent := d.classes.mostUrgent(q.class)
	if urgent {
		d.load.urgentArrivals.add(d.now, shortTimeConstant, q.class.serviceTime*float64(len(q.shards)))
	}
	d.sampleSaturation()
	if d.waiting.queued == 0 {
		return 0, true
	}
	wait := time.Duration(0)
	for position := range q.shards {
		if shard := &q.shards[position]; shard.group != nil {
			wait = max(wait, d.predictWait(shard.group, q))
		}
	}
	return wait, d.config.Admission.Admit(admission.Prediction{
		Wait:           wait,
		Service:        seconds(q.class.serviceTime),
		Remaining:      q.Deadline - d.now,
		Urgent:         urgent,
		Saturated:      d.load.saturation.saturated(),
		NonUrgentShare: d.load.shareLeftByUrgent(d.now),
	})
}

// admitPending refuses a query that waits for the concurrency limit if the queries ahead of it are
// expected to take too long.
func (d *Dispatcher) admitPending(q *query) {
	ahead := slices.Index(d.queries.pending, q) + 1
	wait := seconds(float64(ahead) * d.means.queryTime / float64(d.fleet.topology.Concurrency))
	admitted := d.config.Admission.Admit(admission.Prediction{
		Wait:      wait,
		Service:   seconds(d.means.queryTime),
		Remaining: q.Deadline - d.now,
		Urgent:    true,
	})
	if !admitted {
		d.refuseOverload(q, wait)
	}
}

// refuseOverload ends a query that is not admitted because of overload. While the process stops,
// the query is refused because of the stop: other nodes have more time for it.
func (d *Dispatcher) refuseOverload(q *query, wait time.Duration) {
	if d.stopping() {
		d.finish(q, OutcomeNotRun, ReasonStopping)
		return
	}
	d.counters.Overloaded++
	d.setPredictedWait(q, wait)
	d.finish(q, OutcomeNotRun, ReasonOverload)
}

// predictWait returns the expected time until a new query gets a slot of the replica group: for
// each class of equal or higher urgency, the work that waits for the leaves of the group divided by
// the rate at which such work can be sent to them. That rate is the larger one of the recent rate
// and the rate allowed by the slots that other nodes and more urgent classes leave free. Unless the
// service is saturated, the query waits at most until its promotion, and from then on only for the
// most urgent work.
func (d *Dispatcher) predictWait(g *replicaGroup, q *query) time.Duration {
	d.scratch.loads = d.scratch.loads[:0]
	for _, l := range g.leaves {
		if l.acceptsWork() && !l.backoff.active(d.now) {
			d.scratch.loads = append(d.scratch.loads, leafLoad{leaf: l, slowness: d.slowness(l), freeSlots: float64(l.slots) - l.loadReports.longMeanOthers})
		}
	}
	longest, urgent := time.Duration(0), time.Duration(0)
	for _, other := range d.classes.ranked {
		longest = max(longest, d.predictClassWait(g, other))
		if d.classes.mostUrgent(other) {
			urgent = longest
		}
		if other == q.class {
			break
		}
	}
	if d.load.saturation.saturated() {
		return longest
	}
	return min(longest, urgent+q.promoteAt-d.now)
}

// predictClassWait predicts the wait caused by the work of one class and subtracts the slots of
// that class from the leaf loads. The result is at least the age of the first waiting shard of the
// class.
func (d *Dispatcher) predictClassWait(g *replicaGroup, class *classState) time.Duration {
	work, sent, free := 0.0, 0.0, 0.0
	for index := range d.scratch.loads {
		load := &d.scratch.loads[index]
		work += load.leaf.waitingWork.get(class).Seconds()
		minimum := minimumShare(d.classes.mostUrgent(class)) * float64(load.leaf.limiter.Current())
		free += max(load.freeSlots, minimum) / load.slowness
		rate := load.leaf.sentWork.get(class).rate(d.now, longTimeConstant)
		load.freeSlots -= rate * load.slowness
		sent += rate
	}
	rate := max(sent, free)
	if work == 0 || rate == 0 {
		return 0
	}
	return max(seconds(work/rate), g.waiting.age(class, d.now))
}

// leafLoad is the remaining capacity of a leaf during a prediction.
type leafLoad struct {
	leaf      *leafState
	slowness  float64
	freeSlots float64 // not used by other nodes or more urgent classes
}

// The minimum shares of a leaf's limit that the prediction grants to the work of a class, so that a
// leaf which seems full does not make the predicted wait infinite. The share of the most urgent
// work is large because it waits only for its own class, while other work may starve.
const (
	minimumUrgentShare = 0.25
	minimumOtherShare  = 0.005
)

// minimumShare returns the minimum share of the limit that the prediction grants to a class.
func minimumShare(urgent bool) float64 {
	if urgent {
		return minimumUrgentShare
	}
	return minimumOtherShare
}
