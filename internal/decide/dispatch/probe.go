// Rule: probes. A leaf whose slowness exceeds that of the chosen leaf by
// ProbationConfig.SlownessThreshold, and that had no attempt for the probe interval, gets an
// attempt of a shard in addition to the chosen leaf. The probe measures whether the leaf is still
// slow. A query of one shard sends it in parallel with the attempt, a query of several shards after
// the shard is answered.
//
// Inputs: slowness of both leaves (ratio to an ordinary leaf), time since the last attempt on the
// leaf, the budget of the shard.
//
// Reason: a slow leaf gets no work while its replicas have room, so without probes its recovery
// would go unnoticed. In a query of several shards, a probe in parallel with the first attempt
// would use up the attempt of a hedge or a retry; with many slow leaves, probes are two thirds of
// all second attempts.

package dispatch

import "time"

// probe sends a second attempt to a slow leaf of the group, in parallel with or after the attempt
// on the chosen leaf.
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

// probeInterval returns the interval between two probes of a leaf. It is short after a reply in
// time, so that the leaf gets its share of the work back soon.
func (d *Dispatcher) probeInterval(l *leafState) time.Duration {
	if l.probation.recovering {
		return d.config.Probation.ProbeInterval / recoveringProbeFactor
	}
	return d.config.Probation.ProbeInterval
}

// recoveringProbeFactor is the factor by which a recovering leaf gets more probes. Together with
// the shorter memory of package replica it gives a recovered leaf 20 or more of 100 attempts after
// three seconds; without both the leaf gets 2.
const recoveringProbeFactor = 8
