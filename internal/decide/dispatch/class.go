package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/hedge"
)

// classState is what the Dispatcher learned of one class of requests.
type classState struct {
	index    int // in the order of their first query
	priority int
	deadline time.Duration
	// base is the time in seconds of one attempt on an ordinary leaf with a
	// free slot.
	base    float64
	samples int
	// latency holds the latencies of single attempts.
	latency hedge.Quantiles
}

const (
	baseWeight   = 0.02 // of one sample, once there are many
	baseOutliers = 4    // samples count at most this many times the base
)

// classOf returns the state of a class, by its name, with the priority and
// deadline that it has now.
func (d *Dispatcher) classOf(defined catalog.Class) *classState {
	class, known := d.classes[defined.Name]
	if !known {
		class = &classState{index: len(d.ranked), base: d.config.InitialLatency.Seconds()}
		d.classes[defined.Name] = class
		d.ranked = append(d.ranked, class)
	}
	if !known || class.priority != defined.Priority || class.deadline != defined.Deadline {
		class.priority, class.deadline = defined.Priority, defined.Deadline
		slices.SortStableFunc(d.ranked, byUrgency)
	}
	return class
}

// byUrgency orders classes as their work goes: by priority, then by deadline.
func byUrgency(a, b *classState) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.deadline, b.deadline))
}

// learn records the latency of an attempt that was expected to take stretch
// times the base because of the queue of its leaf.
func (c *classState) learn(latency time.Duration, stretch float64) {
	c.latency.Add(latency)
	c.samples++
	sample := latency.Seconds() / stretch
	if c.samples == 1 {
		c.base = sample
		return
	}
	weight := max(baseWeight, 1/float64(c.samples))
	c.base += weight * (min(sample, baseOutliers*c.base) - c.base)
}
