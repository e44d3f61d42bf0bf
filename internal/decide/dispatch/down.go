// Rule: leaves that are down. A leaf whose address refused the newest connection is down while it
// is in backoff for that failure. A shard whose leaves are all down counts as unavailable: a query
// that needs the shard for its coverage is refused, or ended, immediately. After the backoff, the
// next query tries the leaves again.
//
// Inputs: attempts that ended because nothing listens at the address of their leaf, the backoff,
// the minimum coverage.
//
// Reason: such a query cannot be served, and its caller gains nothing by waiting. Until the
// announcements of crashed leaves expire seconds later, no other rule detects that they are gone,
// and nearly all queries would end at their deadlines.

package dispatch

import "slices"

// setDown records whether a leaf is down.
func (d *Dispatcher) setDown(l *leafState, down bool) {
	if l.down == down {
		return
	}
	l.down = down
	if down {
		d.fleet.downCount++
	} else {
		d.fleet.downCount--
	}
}

// isDown reports whether all leaves of a group that accept work are down. A group without such
// leaves is not down, because its leaves may be cold or draining.
func (d *Dispatcher) isDown(g *replicaGroup) bool {
	if d.fleet.downCount == 0 {
		return false
	}
	accepting := false
	for _, l := range g.leaves {
		if !l.acceptsWork() {
			continue
		}
		if !l.down || !l.backoff.active(d.now) {
			return false
		}
		accepting = true
	}
	return accepting
}

// coverageBlockedByDownLeaves reports whether a query cannot reach its coverage while the leaves
// that are down stay down. A shard with an attempt in flight may still be answered.
func (d *Dispatcher) coverageBlockedByDownLeaves(q *query) bool {
	if d.fleet.downCount == 0 {
		return false
	}
	reachable := q.progress
	for position := range q.shards {
		shard := &q.shards[position]
		if shard.status == shardWaiting && shard.firstAttempt == noAttempt && shard.group != nil && d.isDown(shard.group) {
			reachable.Unavailable++
		}
	}
	return !reachable.CanMeetMinimum(q.MinimumCoverage)
}

// endQueriesBlockedBy ends the queries that cannot reach their coverage without a leaf that has
// gone down.
func (d *Dispatcher) endQueriesBlockedBy(l *leafState) {
	if !l.down || !slices.ContainsFunc(l.groups, d.isDown) {
		return
	}
	for _, q := range slices.Clone(d.queries.running) {
		if !q.finished {
			d.advance(q)
		}
	}
}
