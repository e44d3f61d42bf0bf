package dispatch

import "time"

// enqueue lets the shard wait for the leaves of its group.
func (d *Dispatcher) enqueue(q *query, position int32) {
	shard := &q.shards[position]
	d.order++
	shard.status = shardWaiting
	shard.waitFor = uint32(d.order)
	shard.waitWork = seconds(q.class.base) / time.Duration(len(shard.group.leaves))
	shard.group.waiting.push(waiter{query: q, position: position, ticket: shard.waitFor, order: d.order})
	d.addWaiting(q, shard, 1)
}

// withdraw takes the shard out of the queue of its group.
func (d *Dispatcher) withdraw(q *query, shard *shardState) {
	shard.waitFor = 0
	shard.group.waiting.live--
	d.addWaiting(q, shard, -1)
}

func (d *Dispatcher) addWaiting(q *query, shard *shardState, sign int) {
	d.waiters += sign
	for _, l := range shard.group.leaves {
		*l.waiting.at(q.class) += time.Duration(sign) * shard.waitWork
	}
}

// pump gives free slots of the leaf to the shards that wait for it.
func (d *Dispatcher) pump(l *leafState) {
	if d.waiters == 0 || !l.takesWork() || l.held(d.now) {
		return
	}
	d.pumpRound++
	for !l.full() {
		next := d.firstWaiting(l)
		if next == nil {
			return
		}
		waiting := *next.waiting.head(d.now)
		if d.now >= waiting.query.Deadline {
			d.review(waiting.query)
			continue
		}
		if !d.placeWaiting(waiting.query, waiting.position) {
			next.skipped = d.pumpRound
		}
		d.review(waiting.query)
	}
}

// firstWaiting returns the group of the leaf whose first waiter goes before
// those of the others, without the groups skipped in this round.
func (d *Dispatcher) firstWaiting(l *leafState) *group {
	var best *group
	var bestHead *waiter
	for _, candidate := range l.groups {
		if candidate.waiting.live == 0 || candidate.skipped == d.pumpRound {
			continue
		}
		head := candidate.waiting.head(d.now)
		if head != nil && (best == nil || head.precedes(bestHead, d.now)) {
			best, bestHead = candidate, head
		}
	}
	return best
}

// pumpAll looks at all waiting and parked shards again.
func (d *Dispatcher) pumpAll() {
	d.reviewAt = d.now + d.config.Review
	parked := d.parked
	d.parked = nil
	for _, entry := range parked {
		if entry.parked() {
			d.place(entry.query, entry.position)
			d.review(entry.query)
		}
	}
	for _, l := range d.leaves {
		d.pump(l)
	}
}
