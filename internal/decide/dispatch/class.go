package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/hedge"
)

// classState is what the Dispatcher learned of one class of requests.
type classState struct {
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

func (d *Dispatcher) classOf(name string) *classState {
	class, known := d.classes[name]
	if !known {
		class = &classState{base: d.config.InitialLatency.Seconds()}
		d.classes[name] = class
	}
	return class
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
