package dispatch

import "time"

// probe sends a second attempt, beside or after the one to the chosen leaf, to a
// slow leaf of the group that had none for long, to learn whether it is still slow.
//
// A query of several shards probes a shard only once that is answered: before, the
// probe would take the place of a hedge or a retry. With 0.15 to 0.5 of the leaves
// slow, probes were two thirds of all second attempts; sent after the answer, they
// leave 0.01 more of the worth of such a day (six days, 0.004 to 0.011 each).
func (d *Dispatcher) probe(q *query, position int32, chosen *leafState) {
	shard := &q.shards[position]
	if d.config.Probation.Disabled || !q.Class.Repeatable || len(shard.group.leaves) < 2 || !q.maySend(shard, &d.config) {
		return
	}
	for _, l := range shard.group.leaves {
		if l == chosen || len(l.running) > 0 || d.now-l.lastSent < d.probeInterval(l) {
			continue
		}
		if !l.takesWork() || l.standby || l.held(d.now) || !l.warmup.allows(d.now) {
			continue
		}
		if d.slowness(l) > d.config.Probation.Slowness*d.slowness(chosen) && d.budgetOf(q, position).SpendHedge() {
			d.send(q, position, l, causeProbe)
			return
		}
	}
}

// probeInterval returns the time between two probes of a leaf. It is short
// once the leaf answered in time, so that it comes back soon.
func (d *Dispatcher) probeInterval(l *leafState) time.Duration {
	if l.recovering {
		return d.config.Probation.ProbeInterval / recoveringProbes
	}
	return d.config.Probation.ProbeInterval
}

// recoveringProbes is how many probes a recovering leaf gets in place of one.
const recoveringProbes = 8
