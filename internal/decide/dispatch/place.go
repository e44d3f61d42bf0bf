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

func (d *Dispatcher) placeNext(q *query, position int32, waiting bool) bool {
	shard := &q.shards[position]
	if d.now >= q.Deadline {
		return false
	}
	if (shard.needsRetry || shard.chargeNext) && !d.budgetOf(q, position).CanRetry() {
		if d.config.EndWithoutBudget {
			q.findings.lastReason = ReasonBudget
			d.markUnavailable(q, position, waiting)
			return true
		}
		d.park(q, position, waiting)
		return true
	}
	if !q.maySend(shard, &d.config) || int(shard.lost) >= d.config.MaximumLost {
		d.markUnavailable(q, position, waiting)
		return true
	}
	if shard.needsRetry && q.suspected() {
		d.withhold(q, position, waiting)
		return true
	}
	chosen, verdict := d.choose(q, shard, waiting)
	switch verdict {
	case choiceNone:
		if q.findings.lastReason == ReasonNone {
			q.findings.lastReason = ReasonNoLeaf
		}
		q.findings.snapshotLost = true
		d.markUnavailable(q, position, waiting)
		return true
	case choiceHeld:
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

// placeDue places the shard of an attempt that has ended, unless that was
// done, or the query ended or was pinned anew, meanwhile.
func (d *Dispatcher) placeDue(ended *attempt) {
	q := ended.query
	if ended.wanted && !q.finished && q.snapshot == ended.snapshot && q.shards[ended.position].due() {
		d.place(q, ended.position)
	}
}
