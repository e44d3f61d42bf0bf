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
	serviceTime float64
	samples     int
	// latency holds the latencies of single attempts.
	latency hedge.Quantiles
}

// Neither number was compared with others: they are chosen so that the base follows some
// fifty attempts, and one that met a pause of its leaf counts little.
const (
	serviceTimeWeight  = 0.02 // of one sample, once there are many
	maximumSampleRatio = 4    // samples count at most this many times the base
)

// classTable holds the classes by name, and in the order in which their work goes.
type classTable struct {
	initialServiceTime time.Duration // latency assumed before the first reply
	byName             map[string]*classState
	ranked             []*classState
}

func newClassTable(initial time.Duration) classTable {
	return classTable{initialServiceTime: initial, byName: make(map[string]*classState)}
}

// of returns the state of a class, by its name, with the priority and deadline that it
// has now.
func (t *classTable) get(defined catalog.Class) *classState {
	class, ok := t.byName[defined.Name]
	if !ok {
		class = &classState{index: len(t.ranked), serviceTime: t.initialServiceTime.Seconds()}
		t.byName[defined.Name] = class
		t.ranked = append(t.ranked, class)
	}
	if !ok || class.priority != defined.Priority || class.deadline != defined.Deadline {
		class.priority, class.deadline = defined.Priority, defined.Deadline
		slices.SortStableFunc(t.ranked, compareUrgency)
	}
	return class
}

// mostUrgent reports whether no class has a higher priority.
func (t *classTable) mostUrgent(class *classState) bool {
	return class.priority <= t.ranked[0].priority
}

// byUrgency orders classes as their work goes: by priority, then by deadline.
func compareUrgency(a, b *classState) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.deadline, b.deadline))
}

// learn records the latency of an attempt that was expected to take stretch
// times the base because of the queue of its leaf.
func (c *classState) recordLatency(latency time.Duration, stretch float64) {
	c.latency.Add(latency)
	c.samples++
	sample := latency.Seconds() / stretch
	if c.samples == 1 {
		c.serviceTime = sample
		return
	}
	weight := max(serviceTimeWeight, 1/float64(c.samples))
	c.serviceTime += weight * (min(sample, maximumSampleRatio*c.serviceTime) - c.serviceTime)
}
