// Rule: choose a leaf. Among the leaves that hold the shard, take work, are not held off
// and may get another attempt of this node, the one with the least expected completion
// time gets the attempt (see package replica). Leaves that already got an attempt of the
// shard come last, those on standby only if no other leaf can take it, and a canary only
// gets a first attempt that its allowance covers.
//
// Inputs: the work of the class and the mean work (seconds on an ordinary leaf), own
// attempts in flight, estimated attempts of other nodes, slots, the limit of own attempts,
// slowness (ratio to an ordinary leaf), share of lost attempts (0 to 1), zone.
//
// Reason: a query is as slow as its slowest shard, so the expected end of the attempt
// counts, not the number of attempts at a leaf. A request that may not be repeated avoids
// doubtful leaves, which have failed and not answered since: lost there, its outcome would
// be unknown. Canaries are chosen in turn, since a choice by what is known of them would
// leave most of them untried.
//
// Measured: the weights of the choice are with package replica. Without the rule on
// doubtful leaves 4 of 4 requests that may not be repeated went to a leaf that had failed.
// Not measured: that standby comes last and that canaries take turns; chosen because
// standby capacity is to stay free and each canary is to be judged.

package dispatch

import "github.com/micaplank/micaplank/internal/decide/replica"

// group is the set of leaves that hold one shard at one snapshot.
type replicaGroup struct {
	leaves []*leafState
	// canaries hold it, too, and are used within an Allowance only: for first
	// attempts, so that whatever they do costs no request its answer.
	canaries []*leafState
	// shard is its number.
	shard        int
	waiting      groupQueue
	skippedRound uint64 // the round of pump that passed it over
}

// choice is the outcome of looking for a leaf for a shard.
type choice uint8

const (
	choiceNone choice = iota // no leaf holds the shard
	choiceWait               // all that hold it are held off, or full
	choiceSend               // take the leaf
)

// choose picks the leaf for a shard. Leaves that were tried for it already
// come last.
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
	verdict := d.collectCandidates(shard, q.priority(d.now), avoided)
	if verdict == choiceNone && avoided != 0 {
		verdict = d.collectCandidates(shard, q.priority(d.now), 0)
	}
	if verdict != choiceSend {
		return nil, verdict
	}
	ahead := shard.group.waiting.live
	if waiting {
		ahead = 0
	}
	work := replica.Work{Base: q.class.serviceTime, Mean: d.meanWorkAt(shard.group.leaves[0]), Ahead: ahead}
	index := d.chooser.Choose(d.scratch.candidates, work)
	chosen := d.scratch.leaves[index]
	if d.scratch.candidates[index].Full() {
		return nil, choiceWait
	}
	return chosen, choiceSend
}

// doubtful returns the replicas that have failed and not answered since.
func (g *replicaGroup) failedReplicas() uint32 {
	mask := uint32(0)
	for index, l := range g.leaves {
		if l.backoff.failures > 0 {
			mask |= replicaBit(index)
		}
	}
	return mask
}

// collect fills the candidates for a shard, without the excluded replicas.
// Those on standby are candidates only if no other replica is.
func (d *Dispatcher) collectCandidates(shard *shardState, priority int, excluded uint32) choice {
	d.scratch.candidates = d.scratch.candidates[:0]
	d.scratch.leaves = d.scratch.leaves[:0]
	verdict := d.appendCandidates(shard, priority, excluded, false)
	if verdict == choiceSend {
		return verdict
	}
	return max(verdict, d.appendCandidates(shard, priority, excluded, true))
}

// collectFrom adds the candidates that are on standby, or those that are not.
func (d *Dispatcher) appendCandidates(shard *shardState, priority int, excluded uint32, standby bool) choice {
	verdict := choiceNone
	for index, l := range shard.group.leaves {
		if excluded&replicaBit(index) != 0 || !l.acceptsWork() || l.standby != standby {
			continue
		}
		if l.warmup.blocked(d.now) {
			continue
		}
		if l.backoff.active(d.now) || !l.warmup.allows(d.now) {
			verdict = max(verdict, choiceWait)
			continue
		}
		verdict = choiceSend
		d.scratch.candidates = append(d.scratch.candidates, d.describeCandidate(l, priority))
		d.scratch.leaves = append(d.scratch.leaves, l)
	}
	return verdict
}

// candidate describes the leaf for the choice of a replica for work of the
// priority.
func (d *Dispatcher) describeCandidate(l *leafState, priority int) replica.Candidate {
	others := l.loadReports.estimateOthers(d.now)
	return replica.Candidate{
		InFlight: len(l.running),
		Others:   others,
		Slots:    l.slots,
		Limit:    d.limitFor(l, priority, others),
		Slowness: d.slowness(l),
		Loss:     l.losses.Share(&d.config.Losses, d.now),
		Near:     l.sameZone,
	}
}

// canaryFor returns the canary for the first attempt of a shard; nil if none is
// due, or can take it. A repeatable request goes there only while the budget pays for
// a retry: otherwise a bad version would cost callers answers.
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

// canRetryCanaries reports whether the budget pays for another attempt in place of
// each that runs at the canaries of a group, and one more.
func (d *Dispatcher) canRetryCanaries(g *replicaGroup) bool {
	running := 0
	for _, l := range g.canaries {
		running += len(l.running)
	}
	budget := d.budgets.get(g.shard, d.now)
	return budget.CanRetry() && budget.Tokens()+d.config.Budget.Debt >= float64(running+1)
}

// replicaBits is the width of the masks of replicas.
const replicaBits = 32

// replicaBit returns the bit of a replica in the masks of a shard. Replicas
// beyond the width of the mask share its last bit.
func replicaBit(index int) uint32 {
	return 1 << min(index, replicaBits-1)
}

// markTried marks the leaf as one that got an attempt of the shard.
func (s *shardState) markTried(l *leafState) {
	for index, other := range s.group.leaves {
		if other == l {
			s.triedReplicas |= replicaBit(index)
		}
	}
}
