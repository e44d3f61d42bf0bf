package dispatch

import (
	"github.com/micaplank/micaplank/internal/decide/replica"
)

// group is the set of leaves that hold one shard at one snapshot.
type group struct {
	leaves []*leafState
	// canaries hold it, too, and are used within an Allowance only: for first
	// attempts, so that whatever they do costs no request its answer.
	canaries []*leafState
	// shard is its number.
	shard   int
	waiting groupQueue
	skipped uint64 // the round of pump that passed it over
}

// choice is the outcome of looking for a leaf for a shard.
type choice uint8

const (
	choiceNone choice = iota // no leaf holds the shard
	choiceHeld               // all that hold it are held off, or full
	choiceSend               // take the leaf
)

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
	if (shard.spent || shard.charged) && !d.budgetOf(q, position).CanRetry() {
		if d.config.EndWithoutBudget {
			q.lastReason = ReasonBudget
			d.lose(q, position, waiting)
			return true
		}
		d.park(q, position, waiting)
		return true
	}
	if !q.maySend(shard, &d.config) || int(shard.lost) >= d.config.MaximumLost {
		d.lose(q, position, waiting)
		return true
	}
	if shard.spent && q.barren() {
		d.holdBack(q, position, waiting)
		return true
	}
	chosen, verdict := d.choose(q, shard, waiting)
	switch verdict {
	case choiceNone:
		if q.lastReason == ReasonNone {
			q.lastReason = ReasonNoLeaf
		}
		q.snapshotLost = true
		d.lose(q, position, waiting)
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

func nextCause(q *query, shard *shardState) cause {
	switch {
	case shard.spent && q.restarted:
		return causeRestart
	case shard.spent, shard.charged:
		return causeRetry
	case shard.resend || shard.sends > 0:
		return causeResend
	default:
		return causeNeeded
	}
}

// park lets a shard wait until the budget allows a retry.
func (d *Dispatcher) park(q *query, position int32, waiting bool) {
	shard := &q.shards[position]
	if waiting {
		d.withdraw(q, shard)
	}
	shard.status = shardParked
	d.parked = append(d.parked, waiter{query: q, position: position})
}

// lose marks a shard that no leaf can answer for now.
func (d *Dispatcher) lose(q *query, position int32, waiting bool) {
	shard := &q.shards[position]
	if waiting {
		d.withdraw(q, shard)
	}
	shard.status = shardUnavailable
	q.progress.Unavailable++
}

// choose picks the leaf for a shard. Leaves that were tried for it already
// come last.
func (d *Dispatcher) choose(q *query, shard *shardState, waiting bool) (*leafState, choice) {
	if shard.group == nil {
		return nil, choiceNone
	}
	if l := d.canaryFor(q, shard); l != nil {
		return l, choiceSend
	}
	avoided := shard.tried
	if !q.Class.Repeatable {
		avoided |= shard.group.doubtful()
	}
	verdict := d.collect(shard, q.priority(d.now), avoided)
	if verdict == choiceNone && avoided != 0 {
		verdict = d.collect(shard, q.priority(d.now), 0)
	}
	if verdict != choiceSend {
		return nil, verdict
	}
	ahead := shard.group.waiting.live
	if waiting {
		ahead = 0
	}
	work := replica.Work{Base: q.class.base, Mean: d.workOf(shard.group.leaves[0]), Ahead: ahead}
	index := d.chooser.Choose(d.candidates, work)
	chosen := d.candidateLeaves[index]
	if d.candidates[index].Full() {
		return nil, choiceHeld
	}
	return chosen, choiceSend
}

// doubtful returns the replicas that have failed and not answered since. A
// request that may not be repeated is not the one to try them.
func (g *group) doubtful() uint32 {
	mask := uint32(0)
	for index, l := range g.leaves {
		if l.failures > 0 {
			mask |= replicaBit(index)
		}
	}
	return mask
}

// collect fills the candidates for a shard, without the excluded replicas.
// Those on standby are candidates only if no other replica is.
func (d *Dispatcher) collect(shard *shardState, priority int, excluded uint32) choice {
	d.candidates = d.candidates[:0]
	d.candidateLeaves = d.candidateLeaves[:0]
	verdict := d.collectFrom(shard, priority, excluded, false)
	if verdict == choiceSend {
		return verdict
	}
	return max(verdict, d.collectFrom(shard, priority, excluded, true))
}

// collectFrom adds the candidates that are on standby, or those that are not.
func (d *Dispatcher) collectFrom(shard *shardState, priority int, excluded uint32, standby bool) choice {
	verdict := choiceNone
	for index, l := range shard.group.leaves {
		if excluded&replicaBit(index) != 0 || !l.takesWork() || l.standby != standby {
			continue
		}
		if l.warmup.closed(d.now) {
			continue
		}
		if l.held(d.now) || !l.warmup.allows(d.now) {
			verdict = max(verdict, choiceHeld)
			continue
		}
		verdict = choiceSend
		d.candidates = append(d.candidates, d.candidate(l, priority))
		d.candidateLeaves = append(d.candidateLeaves, l)
	}
	return verdict
}

// replicaBit returns the bit of a replica in the masks of a shard. Replicas
// beyond the width of the mask share its last bit.
func replicaBit(index int) uint32 {
	return 1 << min(index, 31)
}

// try marks the leaf as one that got an attempt of the shard.
func (s *shardState) try(l *leafState) {
	for index, other := range s.group.leaves {
		if other == l {
			s.tried |= replicaBit(index)
		}
	}
}
