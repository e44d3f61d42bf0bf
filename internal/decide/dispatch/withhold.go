package dispatch

// suspectCrashes is how many attempts of a query of several shards have to end with their
// leaves, while none is answered, before second ones wait. One leaf ends now and then.
const suspectCrashes = 2

// suspected reports whether leaves ended under the query and none has answered: it may be
// the query that ends them. Then no second leaf of a shard gets it. Of 8 leaves of 4
// shards that end under a request which comes 32 times at three nodes, 5 end before it
// is known in place of all 8, and 2 under its trials (three plays each).
func (q *query) suspected() bool {
	return len(q.shards) > 1 && q.crashes >= suspectCrashes && q.progress.Answered == 0
}

// withhold lets a shard whose attempt was lost wait for an answer of another one. It
// gives the shard up once there is none left that could come.
func (d *Dispatcher) withhold(q *query, position int32, waiting bool) {
	shard := &q.shards[position]
	if q.inFlight == 0 && !q.waitsForLeaf(shard) {
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

// waitsForLeaf reports whether a shard but this one waits for a leaf.
func (q *query) waitsForLeaf(but *shardState) bool {
	for position := range q.shards {
		if one := &q.shards[position]; one != but && one.waitFor != 0 {
			return true
		}
	}
	return false
}

// releaseWithheld places the shards that were held back, once another one was answered, or none
// can be.
func (d *Dispatcher) releaseWithheld(q *query) {
	if q.withheld == 0 || q.suspected() && (q.inFlight > 0 || q.waitsForLeaf(nil)) {
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
