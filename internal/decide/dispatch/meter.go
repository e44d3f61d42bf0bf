package dispatch

import (
	"math"
	"time"
)

// perClass holds a value for each class. A class without a value has the zero value of T.
type perClass[T any] struct {
	values []T
}

// get returns the value of a class.
func (p *perClass[T]) get(class *classState) T {
	if class.index < len(p.values) {
		return p.values[class.index]
	}
	var zero T
	return zero
}

// ensure returns a pointer to the value of a class, which is valid until the next call of ensure.
func (p *perClass[T]) ensure(class *classState) *T {
	for len(p.values) <= class.index {
		var zero T
		p.values = append(p.values, zero)
	}
	return &p.values[class.index]
}

// meter estimates a rate of work, in seconds of work per second. Work decays exponentially with a
// time constant.
type meter struct {
	sum float64
	at  Time
}

// Time constants of meters. With a shorter longTimeConstant, sweeps are refused after the loss of a
// zone at 80 % use of a pair of leaves.
const (
	longTimeConstant  = 2 * time.Second        // of the work sent to a leaf
	shortTimeConstant = 300 * time.Millisecond // of the work of the node
)

// add records work, in seconds, that was sent or arrived now.
func (m *meter) add(now Time, timeConstant time.Duration, work float64) {
	m.sum = m.sum*decay(now-m.at, timeConstant) + work
	m.at = now
}

// rate returns the recent rate of work, in seconds of work per second.
func (m meter) rate(now Time, timeConstant time.Duration) float64 {
	return m.sum * decay(now-m.at, timeConstant) / timeConstant.Seconds()
}

// decay returns the remaining weight of a sample of the given age.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}

// seconds converts a number of seconds to a duration.
func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
