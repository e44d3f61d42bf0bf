// The next step of a shard that has no attempt. In this order: past the deadline nothing is
// sent; without budget for a needed retry the shard is parked or given up; with its
// attempts used up it is given up; a retry of a suspected query is withheld; without a leaf
// that holds it the shard is given up, and the query may restart; without room at the
// leaves it is queued; else the attempt is sent.

package dispatch

// place sends the next attempt of a shard without one, or lets it wait. It
// never ends the query; see review.
func (d *Dispatcher) place(q *query, position int32) {
	d.placeNext(q, position, false)
}

// placeWaiting does the same for a shard that waits; it keeps its place if it
// is not sent. It reports whether the shard left the queue.
func (d *Dispatcher) placeWaiting(q *query, position int32) bool {
	return d.placeNext(q, position, true)
}

// placeNext does the work of place and placeWaiting. It reports whether the shard is
// dealt with: if not, it waits in the queue, or for the deadline.
func (d *Dispatcher) placeNext(q *query, position int32, waiting bool) bool {
	if d.now >= q.Deadline {
		return false
	}
	if d.blockAttempt(q, position, waiting) {
		return true
	}
	shard := &q.shards[position]
	chosen, verdict := d.choose(q, shard, waiting)
	switch verdict {
	case choiceNone:
		d.giveUpWithoutLeaf(q, position, waiting)
		return true
	case choiceWait:
		if !waiting {
			d.enqueue(q, position)
		}
		return false
	}
	if waiting {
		d.withdraw(q, shard)
	}
	d.send(q, position, chosen, nextCause(q, shard))
	if len(q.shards) == 1 {
		d.probe(q, position, chosen) // its answer ends the query
	}
	return true
}

// barred parks, gives up or withholds a shard that may not get another attempt now, and
// reports whether it did.
func (d *Dispatcher) blockAttempt(q *query, position int32, waiting bool) bool {
	shard := &q.shards[position]
	switch {
	case (shard.needsRetry || shard.chargeNext) && !d.budgetFor(q, position).CanRetry():
		d.parkOrGiveUp(q, position, waiting)
	case q.attemptsExhausted(shard, &d.config):
		d.markUnavailable(q, position, waiting)
	case shard.needsRetry && q.suspected():
		d.withhold(q, position, waiting)
	default:
		return false
	}
	return true
}

// lackBudget parks a shard that needs a retry without a budget for it, or gives it up.
func (d *Dispatcher) parkOrGiveUp(q *query, position int32, waiting bool) {
	if d.config.EndWithoutBudget {
		q.findings.lastReason = ReasonBudget
		d.markUnavailable(q, position, waiting)
		return
	}
	d.park(q, position, waiting)
}

// noLeaf gives up a shard that no leaf holds at the snapshot of the query.
func (d *Dispatcher) giveUpWithoutLeaf(q *query, position int32, waiting bool) {
	if q.findings.lastReason == ReasonNone {
		q.findings.lastReason = ReasonNoLeaf
	}
	q.findings.snapshotLost = true
	d.markUnavailable(q, position, waiting)
}

// park lets a shard wait until the budget allows a retry.
func (d *Dispatcher) park(q *query, position int32, waiting bool) {
	shard := &q.shards[position]
	if waiting {
		d.withdraw(q, shard)
	}
	shard.status = shardParked
	d.waiting.parked = append(d.waiting.parked, waiter{query: q, position: position})
}

// markUnavailable marks a shard that no leaf can answer for now.
func (d *Dispatcher) markUnavailable(q *query, position int32, waiting bool) {
	shard := &q.shards[position]
	if waiting {
		d.withdraw(q, shard)
	}
	shard.status = shardUnavailable
	q.progress.Unavailable++
}

// placeDue places the shard of an attempt that has ended, unless that was done, or the
// query ended or restarted, meanwhile.
func (d *Dispatcher) placeDue(ended *attempt) {
	q := ended.query
	if ended.wanted && !q.finished && q.snapshot == ended.snapshot && q.shards[ended.position].due() {
		d.place(q, ended.position)
	}
}
