package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/hedge"
)

// classState holds the estimates of a request class.
type classState struct {
	index    int // in order of first use
	priority int
	deadline time.Duration
	// serviceTime is the mean time in seconds of an attempt on an ordinary leaf with a free slot.
	serviceTime float64
	samples     int
	// latency holds the latencies of individual attempts.
	latency hedge.LatencyHistogram
	// answerTime holds the latencies without the time for which the driver held the attempts.
	answerTime hedge.LatencyHistogram
}

// With these weights serviceTime averages over about fifty attempts, and an attempt that met a
// pause of its leaf has little influence.
const (
	serviceTimeWeight  = 0.02 // of a sample after the first fifty
	maximumSampleRatio = 4    // bound of a sample, relative to serviceTime
)

// classTable holds the classes by name and in order of urgency.
type classTable struct {
	initialServiceTime time.Duration // assumed before the first reply
	byName             map[string]*classState
	ranked             []*classState // most urgent first
}

func newClassTable(initial time.Duration) classTable {
	return classTable{initialServiceTime: initial, byName: make(map[string]*classState)}
}

// get returns the state of a class by its name and updates the priority and deadline of the class.
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

// compareUrgency orders classes by priority, then by deadline.
func compareUrgency(a, b *classState) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.deadline, b.deadline))
}

// recordLatency adds the latency of an attempt that waited in the driver before it was sent, and
// whose expected time was stretch times the service time because of the queue of its leaf.
func (c *classState) recordLatency(latency, waited time.Duration, stretch float64) {
	c.latency.Add(latency)
	c.answerTime.Add(latency - waited)
	c.samples++
	sample := latency.Seconds() / stretch
	if c.samples == 1 {
		c.serviceTime = sample
		return
	}
	weight := max(serviceTimeWeight, 1/float64(c.samples))
	c.serviceTime += weight * (min(sample, maximumSampleRatio*c.serviceTime) - c.serviceTime)
}
