// Rule: withheld retries. Once suspectCrashes attempts of a query of several shards ended
// because their leaves closed the connection, and no shard is answered, the query may be
// what crashes them: second attempts wait. An answer releases them; without one that could
// still come, their shards are given up.
//
// Inputs: attempts whose leaf closed the connection before a byte of its answer, shards
// answered, attempts in flight and shards queued.
//
// Reason: within one try, a request that crashes leaves would take both replicas of each
// of its shards before anyone could know of it.
//
// Measured: of 8 leaves of 4 shards that crash under a request which comes 32 times at
// three nodes, 5 crash before it is known in place of all 8, and 2 under its trials (three
// plays each).

package dispatch

// suspectCrashes is the number of crashes from which a query is suspected. Not measured
// against other numbers: chosen because a single leaf crashes now and then.
const suspectCrashes = 2

// suspected reports whether the query may be what crashes leaves.
func (q *query) suspected() bool {
	return len(q.shards) > 1 && q.crashes >= suspectCrashes && q.progress.Answered == 0
}

// withhold lets a shard whose attempt was lost wait for the answer of another shard. It
// gives the shard up if no such answer can come any more.
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

// waitsForLeaf reports whether a shard other than the given one waits for a leaf.
func (q *query) hasQueuedShard(except *shardState) bool {
	for position := range q.shards {
		if shard := &q.shards[position]; shard != except && shard.waitTicket != 0 {
			return true
		}
	}
	return false
}

// releaseWithheld places the withheld shards once another shard was answered, or none
// can be.
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
