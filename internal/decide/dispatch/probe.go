// Rule: probes. A leaf that is slower than the chosen one by ProbationConfig.Slowness and
// had no attempt for the probe interval gets an attempt of a shard beside the chosen leaf,
// to measure whether it is still slow. A query of one shard sends it beside the attempt, a
// query of several once the shard is answered.
//
// Inputs: slowness of both leaves (ratio to an ordinary one), time since the last attempt
// at the leaf, the budget of the shard.
//
// Reason: a slow leaf gets no work while its replicas have room, so without probes it would
// never be measured again. In a query of several shards, a probe beside the first attempt
// would take the place of a hedge or a retry.
//
// Measured: of 0.15 to 0.5 slow leaves, probes were two thirds of all second attempts; sent
// after the answer, they leave 0.01 more of the worth of such a day (six days, 0.004 to
// 0.011 each). No probes at all: worth 0.7808 in place of 0.7863 (paired trials).

package dispatch

import "time"

// probe sends a second attempt to a slow leaf of the group, beside or after the one to
// the chosen leaf.
func (d *Dispatcher) probe(q *query, position int32, chosen *leafState) {
	shard := &q.shards[position]
	if !q.Class.Repeatable || len(shard.group.leaves) < 2 || !q.mayAttempt(shard, &d.config) {
		return
	}
	for _, l := range shard.group.leaves {
		if l == chosen || len(l.running) > 0 || d.now-l.probation.lastSent < d.probeInterval(l) {
			continue
		}
		if !l.acceptsWork() || l.standby || l.backoff.active(d.now) || !l.warmup.allows(d.now) {
			continue
		}
		if d.slowness(l) > d.config.Probation.SlownessThreshold*d.slowness(chosen) && d.budgetFor(q, position).SpendHedge() {
			d.send(q, position, l, CauseProbe)
			return
		}
	}
}

// probeInterval returns the time between two probes of a leaf. It is short once the
// leaf answered in time, so that it gets its share of the work again soon.
func (d *Dispatcher) probeInterval(l *leafState) time.Duration {
	if l.probation.recovering {
		return d.config.Probation.ProbeInterval / recoveringProbeFactor
	}
	return d.config.Probation.ProbeInterval
}

// recoveringProbes is how many probes a recovering leaf gets in place of one. With it,
// and a faster forgetting of the past (package replica), a recovered leaf got 20 or more
// of 100 attempts after three seconds, and 2 without; other numbers were not compared.
const recoveringProbeFactor = 8
