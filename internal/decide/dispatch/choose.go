// Rule: choice of a leaf. The candidates are the leaves that hold the shard, accept work, are not
// in backoff and have capacity for another attempt of this node. The candidate with the lowest
// expected completion time gets the attempt (see package replica). Leaves that already got an
// attempt of the shard are considered last, standby leaves only if no other leaf can accept the
// attempt, and a canary gets only first attempts that its allowance covers.
//
// Inputs: the service time of the class and the mean work (seconds on an ordinary leaf), own
// attempts in flight, estimated attempts of other nodes, slots, the limit of own attempts, slowness
// (ratio to an ordinary leaf), share of lost attempts (0 to 1), zone.
//
// Reason: a query is as slow as its slowest shard, so the expected completion time decides rather
// than the number of attempts on a leaf. A request that must not be repeated avoids leaves that
// have failed and not answered since, because its outcome would be unknown if the attempt were lost
// there. Without this rule, all such requests may go to a leaf that has just failed. Standby leaves
// are considered last to keep their capacity free. Canaries take turns, because a choice by their
// estimated speed would leave most of them unused, and each canary has to be judged.

package dispatch

import "github.com/micaplank/micaplank/internal/decide/replica"

// replicaGroup is the set of leaves that hold a shard at a snapshot.
type replicaGroup struct {
	leaves []*leafState
	// canaries also hold the shard. They get only first attempts within an Allowance, so that a
	// failing canary does not cost a request its answer.
	canaries     []*leafState
	shard        int // number of the shard
	waiting      groupQueue
	skippedRound uint64 // dispatch round in which the group was skipped
}

// choice is the result of the search for a leaf.
type choice uint8

const (
	choiceNone choice = iota // no leaf holds the shard
	choiceWait               // all leaves that hold the shard are in backoff or full
	choiceSend               // a leaf was chosen
)

// choose picks the leaf for the next attempt of a shard. Leaves that already got an attempt of the
// shard are considered last.
func (d *Dispatcher) choose(q *query, shard *shardState, waiting bool) (*leafState, choice) {
	if shard.group == nil {
		return nil, choiceNone
	}
	if l := d.chooseCanary(q, shard); l != nil {
		return l, choiceSend
	}
	avoided := shard.triedReplicas
	if !q.Class.Repeatable {
		avoided |= shard.group.failedReplicas()
	}
	result := d.collectCandidates(shard, q.priority(d.now), avoided)
	if result == choiceNone && avoided != 0 {
		result = d.collectCandidates(shard, q.priority(d.now), 0)
	}
	if result != choiceSend {
		return nil, result
	}
	ahead := shard.group.waiting.live
	if waiting {
		ahead = 0
	}
	work := replica.Work{Base: q.class.serviceTime, Mean: d.meanWorkAt(shard.group.leaves[0]), Queued: ahead}
	index := d.chooser.Choose(d.scratch.candidates, work)
	chosen := d.scratch.leaves[index]
	if d.scratch.candidates[index].Full() {
		return nil, choiceWait
	}
	return chosen, choiceSend
}

// failedReplicas returns the mask of the replicas that have failed and not answered since.
func (g *replicaGroup) failedReplicas() uint32 {
	mask := uint32(0)
	for index, l := range g.leaves {
		if l.backoff.failures > 0 {
			mask |= replicaBit(index)
		}
	}
	return mask
}

// collectCandidates fills the scratch list of candidates for a shard, without the excluded
// replicas. Standby leaves are candidates only if no other replica is.
func (d *Dispatcher) collectCandidates(shard *shardState, priority int, excluded uint32) choice {
	d.scratch.candidates = d.scratch.candidates[:0]
	d.scratch.leaves = d.scratch.leaves[:0]
	result := d.appendCandidates(shard, priority, excluded, false)
	if result == choiceSend {
		return result
	}
	return max(result, d.appendCandidates(shard, priority, excluded, true))
}

// appendCandidates appends either the candidates on standby or all others.
func (d *Dispatcher) appendCandidates(shard *shardState, priority int, excluded uint32, standby bool) choice {
	result := choiceNone
	for index, l := range shard.group.leaves {
		if excluded&replicaBit(index) != 0 || !l.acceptsWork() || l.standby != standby {
			continue
		}
		if l.warmup.blocked(d.now) {
			continue
		}
		if l.backoff.active(d.now) || !l.warmup.allows(d.now) {
			result = max(result, choiceWait)
			continue
		}
		result = choiceSend
		d.scratch.candidates = append(d.scratch.candidates, d.describeCandidate(l, priority))
		d.scratch.leaves = append(d.scratch.leaves, l)
	}
	return result
}

// describeCandidate returns the leaf as a candidate for work of the given priority.
func (d *Dispatcher) describeCandidate(l *leafState, priority int) replica.Candidate {
	others := l.loadReports.estimateOthers(d.now)
	return replica.Candidate{
		InFlight:       len(l.running),
		OthersInFlight: others,
		Slots:          l.slots,
		Limit:          d.limitFor(l, priority, others),
		Slowness:       d.slowness(l),
		LossRate:       l.losses.LossRate(&d.config.Losses, d.now),
		SameZone:       l.sameZone,
	}
}

// chooseCanary returns the canary for the first attempt of a shard, or nil if the allowance is
// spent or no canary can accept the attempt. A repeatable request goes to a canary only while the
// budget pays for a retry; otherwise a bad version would cost callers their answers.
func (d *Dispatcher) chooseCanary(q *query, shard *shardState) *leafState {
	if len(d.allowances) == 0 || shard.attempts > 0 || len(shard.group.canaries) == 0 {
		return nil
	}
	if !d.allowances.allows(shard.group.shard, d.now) {
		return nil
	}
	if q.Class.Repeatable && !d.canRetryCanaries(shard.group) {
		return nil
	}
	var chosen *leafState
	for _, l := range shard.group.canaries {
		if !l.acceptsWork() || l.backoff.active(d.now) || l.full() || d.now < l.warmAt || !l.warmup.allows(d.now) {
			continue
		}
		if chosen == nil || len(l.running) < len(chosen.running) || len(l.running) == len(chosen.running) && l.probation.lastSent < chosen.probation.lastSent {
			chosen = l
		}
	}
	return chosen
}

// canRetryCanaries reports whether the budget pays for a retry of each attempt that runs on the
// canaries of a group, and for one more.
func (d *Dispatcher) canRetryCanaries(g *replicaGroup) bool {
	running := 0
	for _, l := range g.canaries {
		running += len(l.running)
	}
	budget := d.budgets.get(g.shard, d.now)
	return budget.CanRetry() && budget.Tokens()+d.config.Budget.MaxDebt >= float64(running+1)
}

// replicaBits is the width of the replica masks.
const replicaBits = 32

// replicaBit returns the bit of a replica in the replica masks. Replicas beyond the width of the
// mask share its last bit.
func replicaBit(index int) uint32 {
	return 1 << min(index, replicaBits-1)
}

// markTried records that the leaf got an attempt of the shard.
func (s *shardState) markTried(l *leafState) {
	for index, other := range s.group.leaves {
		if other == l {
			s.triedReplicas |= replicaBit(index)
		}
	}
}
