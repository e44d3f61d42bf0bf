// Rule: queue order. Waiting shards and queries that wait for the concurrency limit are ordered by
// priority (1 first), then by deadline, then by arrival. The shards of a query have the highest
// priority once the share Config.PromoteAfter of its time has passed. Parked shards, which need a
// retry that the budget does not pay for now, are retried every Config.RescanInterval.
//
// Inputs: priority of the class, absolute deadline, time of the submission, order of arrival.
//
// Reason: work that waits in the node can be reordered and cancelled, work that waits at a leaf
// cannot. An admitted query has been promised to run, so it must not starve behind urgent work.
// Without the promotion, services with two or three slots per leaf refuse queries at their
// deadlines at 150 % load.

package dispatch

import (
	"slices"
	"time"
)

// highestPriority is the priority of the most urgent work.
const highestPriority = 1

// priority returns the priority of the query at a time, including the promotion.
func (q *query) priority(now Time) int {
	if now >= q.promoteAt {
		return min(q.Class.Priority, highestPriority)
	}
	return q.Class.Priority
}

// waitingShards counts the shards that wait for a leaf and holds those that wait for the budget.
// The shards that wait for a leaf are in the queues of their groups.
type waitingShards struct {
	queued      int // shards that wait for a leaf
	parked      []waiter
	lastArrival uint64 // sequence number of the last arrival
	round       uint64 // number of the last call of dispatchTo
	rescanAt    Time   // when all waiting shards are retried
}

// hasWaiting reports whether shards wait in the node.
func (w *waitingShards) hasWaiting() bool {
	return w.queued > 0 || len(w.parked) > 0
}

// waiter is the queue entry of a shard that waits in the node.
type waiter struct {
	query    *query
	position int32
	ticket   uint32
	arrival  uint64 // sequence number
}

// live reports whether the entry has not been withdrawn.
func (w *waiter) live() bool {
	if w.query.finished || int(w.position) >= len(w.query.shards) {
		return false
	}
	shard := &w.query.shards[w.position]
	return shard.status == shardWaiting && shard.waitTicket == w.ticket
}

// parked reports whether the shard still waits for the budget.
func (w *waiter) parked() bool {
	q := w.query
	return !q.finished && int(w.position) < len(q.shards) && q.shards[w.position].status == shardParked
}

// precedesNow orders waiters like precedesByClass, but by the current priorities of their queries.
func (w *waiter) precedesNow(other *waiter, now Time) bool {
	a, b := w.query.priority(now), other.query.priority(now)
	if a != b {
		return a < b
	}
	if w.query.Deadline != other.query.Deadline {
		return w.query.Deadline < other.query.Deadline
	}
	return w.arrival < other.arrival
}

// precedesByClass orders waiters by the priority of the class, then by deadline, then by arrival.
func (w *waiter) precedesByClass(other *waiter) bool {
	a, b := w.query, other.query
	if a.Class.Priority != b.Class.Priority {
		return a.Class.Priority < b.Class.Priority
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return w.arrival < other.arrival
}

// enqueue adds the shard to the queue of its group.
func (d *Dispatcher) enqueue(q *query, position int32) {
	shard := &q.shards[position]
	d.waiting.lastArrival++
	shard.status = shardWaiting
	shard.waitTicket = uint32(d.waiting.lastArrival)
	shard.waitWork = seconds(q.class.serviceTime) / time.Duration(len(shard.group.leaves))
	shard.group.waiting.push(waiter{query: q, position: position, ticket: shard.waitTicket, arrival: d.waiting.lastArrival})
	d.adjustWaitingWork(q, shard, 1)
}

// withdraw removes the shard from the queue of its group.
func (d *Dispatcher) withdraw(q *query, shard *shardState) {
	shard.waitTicket = 0
	shard.group.waiting.live--
	d.adjustWaitingWork(q, shard, -1)
}

// adjustWaitingWork adds the shard's part of the waiting work to each leaf of its group, or
// subtracts it if sign is -1.
func (d *Dispatcher) adjustWaitingWork(q *query, shard *shardState, sign int) {
	d.waiting.queued += sign
	for _, l := range shard.group.leaves {
		*l.waitingWork.ensure(q.class) += time.Duration(sign) * shard.waitWork
	}
}

// dispatchTo assigns the free slots of the leaf to the shards that wait for it.
func (d *Dispatcher) dispatchTo(l *leafState) {
	if d.waiting.queued == 0 || !l.acceptsWork() || l.backoff.active(d.now) {
		return
	}
	d.waiting.round++
	for !l.full() {
		next := d.firstWaiting(l)
		if next == nil {
			return
		}
		waiting := *next.waiting.head(d.now)
		if d.now >= d.lastSend(waiting.query) && !d.tooLateForStop(waiting.query) {
			d.advance(waiting.query)
			continue
		}
		if !d.placeWaiting(waiting.query, waiting.position) {
			next.skippedRound = d.waiting.round
		}
		d.advance(waiting.query)
	}
}

// firstWaiting returns the group of the leaf whose first waiter precedes those of the other groups,
// without the groups that were skipped in this round.
func (d *Dispatcher) firstWaiting(l *leafState) *replicaGroup {
	var best *replicaGroup
	var bestHead *waiter
	for _, candidate := range l.groups {
		if candidate.waiting.live == 0 || candidate.skippedRound == d.waiting.round {
			continue
		}
		head := candidate.waiting.head(d.now)
		if head != nil && (best == nil || head.precedesNow(bestHead, d.now)) {
			best, bestHead = candidate, head
		}
	}
	return best
}

// dispatchAllWaiting retries all waiting and parked shards.
func (d *Dispatcher) dispatchAllWaiting() {
	d.waiting.rescanAt = d.now + d.config.RescanInterval
	parked := d.waiting.parked
	d.waiting.parked = nil
	for _, entry := range parked {
		if entry.parked() {
			d.place(entry.query, entry.position)
			d.advance(entry.query)
		}
	}
	for _, l := range d.fleet.leaves {
		d.dispatchTo(l)
	}
}

// postpone adds a query to those that wait for the concurrency limit.
func (d *Dispatcher) postpone(q *query) {
	at, _ := slices.BinarySearchFunc(d.queries.pending, q, func(a, b *query) int {
		if a.Class.Priority < b.Class.Priority ||
			a.Class.Priority == b.Class.Priority && a.Deadline <= b.Deadline {
			return -1
		}
		return 1
	})
	d.queries.pending = slices.Insert(d.queries.pending, at, q)
	d.timers.set(q, d.lastSend(q))
}

// startPending starts postponed queries as far as the concurrency limit allows.
func (d *Dispatcher) startPending() {
	if d.queries.startsBlocked {
		return
	}
	d.queries.startsBlocked = true
	defer func() { d.queries.startsBlocked = false }()
	for len(d.queries.pending) > 0 && (d.fleet.topology.Concurrency == 0 || d.queries.started < d.fleet.topology.Concurrency) {
		q := d.queries.pending[0]
		d.queries.pending = slices.Delete(d.queries.pending, 0, 1)
		d.start(q)
	}
}
