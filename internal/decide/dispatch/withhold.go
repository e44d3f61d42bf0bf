// Rule: withheld retries. Once suspectCrashes attempts of a query of several shards have ended
// because their leaves closed the connection, and no shard is answered, the query may be the cause
// of the crashes, and its second attempts are withheld. An answer releases them. If no answer is
// possible any more, their shards are given up.
//
// Inputs: attempts whose leaf closed the connection before the first byte of its answer, shards
// answered, attempts in flight and shards queued.
//
// Reason: a request that crashes leaves would otherwise crash both replicas of each of its shards
// before its effect is detected. With a request that comes 32 times to three nodes, 5 of the 8
// leaves of 4 shards crash instead of all 8.

package dispatch

// suspectCrashes is the number of crashes from which a query is suspected. It is greater than one
// because single leaves crash for other reasons.
const suspectCrashes = 2

// suspected reports whether the query may be the cause of crashes.
func (q *query) suspected() bool {
	return len(q.shards) > 1 && q.crashes >= suspectCrashes && q.progress.Answered == 0
}

// withhold makes a shard whose attempt was lost wait for the answer of another shard. It gives the
// shard up if no such answer is possible any more.
func (d *Dispatcher) withhold(q *query, position int32, waiting bool) {
	shard := &q.shards[position]
	if q.inFlight == 0 && !q.hasQueuedShard(shard) {
		d.markUnavailable(q, position, waiting)
		return
	}
	if waiting {
		d.withdraw(q, shard)
	}
	if !shard.withheld {
		shard.withheld = true
		q.withheld++
	}
}

// hasQueuedShard reports whether a shard other than the given one waits for a leaf.
func (q *query) hasQueuedShard(except *shardState) bool {
	for position := range q.shards {
		if shard := &q.shards[position]; shard != except && shard.waitTicket != 0 {
			return true
		}
	}
	return false
}

// releaseWithheld places the withheld shards once another shard is answered or none can be
// answered.
func (d *Dispatcher) releaseWithheld(q *query) {
	if q.withheld == 0 || q.suspected() && (q.inFlight > 0 || q.hasQueuedShard(nil)) {
		return
	}
	for position := range q.shards {
		shard := &q.shards[position]
		if !shard.withheld {
			continue
		}
		shard.withheld = false
		q.withheld--
		if shard.due() {
			d.place(q, int32(position))
		}
	}
}
