package dispatch

import (
	"math"
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
// a slot of the group: for each priority that goes first, the work that waits
// for the leaves of the group over the rate at which such work is sent there.
func (d *Dispatcher) predictWait(g *group, priority int) float64 {
	longest := 0.0
	for index := range priorityIndex(priority) + 1 {
		work, rate, capacity := 0.0, 0.0, 0.0
		for _, l := range g.leaves {
			if !l.takesWork() || l.held(d.now) {
				continue
			}
			work += l.waiting[index].Seconds()
			rate += l.sent[index].rate(d.now)
			capacity += float64(l.limiter.Current()) / d.slowness(l)
		}
		if rate = max(rate, capacity*leastShare); work > 0 && rate > 0 {
			longest = max(longest, work/rate)
		}
	}
	return longest
}

// leastShare is the share of the capacity that work of any priority is
// assumed to get at least.
const leastShare = 0.05

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// meter measures the rate of work sent, in seconds of work a second. Work
// fades with the time constant meterMemory.
type meter struct {
	sum float64
	at  Time
}

const meterMemory = 500 * time.Millisecond

func (m *meter) add(now Time, work float64) {
	m.sum = m.faded(now) + work
	m.at = now
}

func (m *meter) faded(now Time) float64 {
	return m.sum * math.Exp(-float64(now-m.at)/float64(meterMemory))
}

func (m *meter) rate(now Time) float64 {
	return m.faded(now) / meterMemory.Seconds()
}
