package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/admission"
)

// admit predicts the wait of the slowest shard of a query and reports whether
// the query is taken.
func (d *Dispatcher) admit(q *query) (time.Duration, bool) {
	if d.waiters == 0 {
		return 0, true
	}
	longest := 0.0
	for position := range q.shards {
		if shard := &q.shards[position]; shard.group != nil {
			longest = max(longest, d.predictWait(shard.group, q.Class.Priority))
		}
	}
	wait := seconds(longest)
	return wait, d.config.Admission.Admit(admission.Prediction{
		Wait:      wait,
		Service:   seconds(q.class.base),
		Remaining: q.Deadline - d.now,
	})
}

// predictWait returns the time in seconds until new work of the priority gets
// a slot of the group: the work that goes before it, over the rate at which
// the leaves of the group do the work of this node.
func (d *Dispatcher) predictWait(g *group, priority int) float64 {
	work, rate := 0.0, 0.0
	for _, l := range g.leaves {
		if !l.takesWork() || l.held(d.now) {
			continue
		}
		work += l.waiting.upTo(priority)
		rate += float64(l.limiter.Current()) / d.slowness(l)
	}
	if work == 0 || rate == 0 {
		return 0
	}
	return work / rate
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
