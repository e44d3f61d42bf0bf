// The next step of a shard without an attempt, in this order: a shard that gets no answer before the
// process stops is given up; after the last send (see lastSend) nothing is sent; without the budget
// for a needed retry the shard is parked or given up; a shard that has used up its attempts is given
// up; a retry of a suspected query is withheld; a shard that no leaf holds is given up, and the query
// may restart; without room on the leaves the shard is queued; otherwise the attempt is sent.

package dispatch

// place sends the next attempt of a shard without an attempt, or queues the shard. It never ends
// the query; see advance.
func (d *Dispatcher) place(q *query, position int32) {
	d.placeNext(q, position, false)
}

// placeWaiting sends the next attempt of a shard that is queued. The shard keeps its place in the
// queue if no attempt is sent. placeWaiting reports whether the shard left the queue.
func (d *Dispatcher) placeWaiting(q *query, position int32) bool {
	return d.placeNext(q, position, true)
}

// placeNext implements place and placeWaiting. It returns false if the shard remains queued or
// waits for the end of the query.
func (d *Dispatcher) placeNext(q *query, position int32, waiting bool) bool {
	if d.tooLateForStop(q) {
		d.giveUpShardForStop(q, position, waiting)
		return true
	}
	if d.now >= d.lastSend(q) {
		return false
	}
	if d.blockAttempt(q, position, waiting) {
		return true
	}
	shard := &q.shards[position]
	chosen, result := d.choose(q, shard, waiting)
	switch result {
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
		d.probe(q, position, chosen) // the answer of the only shard ends the query
	}
	return true
}

// blockAttempt parks, gives up or withholds a shard that may not get another attempt now, and
// reports whether it did so.
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

// parkOrGiveUp parks a shard whose retry the budget does not pay for, or gives it up if
// Config.EndWithoutBudget is set.
func (d *Dispatcher) parkOrGiveUp(q *query, position int32, waiting bool) {
	if d.config.EndWithoutBudget {
		q.findings.lastReason = ReasonExtraLoad
		d.markUnavailable(q, position, waiting)
		return
	}
	d.park(q, position, waiting)
}

// giveUpWithoutLeaf gives up a shard that no leaf holds at the snapshot of the query.
func (d *Dispatcher) giveUpWithoutLeaf(q *query, position int32, waiting bool) {
	if q.findings.lastReason == ReasonNone {
		q.findings.lastReason = ReasonNoLeaf
	}
	q.findings.snapshotLost = true
	d.markUnavailable(q, position, waiting)
}

// park makes a shard wait until the budget allows a retry.
func (d *Dispatcher) park(q *query, position int32, waiting bool) {
	shard := &q.shards[position]
	if waiting {
		d.withdraw(q, shard)
	}
	shard.status = shardParked
	d.waiting.parked = append(d.waiting.parked, waiter{query: q, position: position})
}

// markUnavailable gives up a shard that no leaf can answer at present.
func (d *Dispatcher) markUnavailable(q *query, position int32, waiting bool) {
	shard := &q.shards[position]
	if waiting {
		d.withdraw(q, shard)
	}
	shard.status = shardUnavailable
	q.progress.Unavailable++
}

// placeDue places the shard of an attempt that has ended, unless the shard was already placed or
// the query ended or restarted in the meantime.
func (d *Dispatcher) placeDue(ended *attempt) {
	q := ended.query
	if ended.wanted && !q.finished && q.snapshot == ended.snapshot && q.shards[ended.position].due() {
		d.place(q, ended.position)
	}
}
