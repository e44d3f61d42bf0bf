package dispatch

import (
	"math"
	"time"
)

// perClass holds a value for each class that was seen. The zero value of T
// stands for the classes that were not written yet.
type perClass[T any] struct {
	values []T
}

// of returns the value of a class.
func (p *perClass[T]) get(class *classState) T {
	if class.index < len(p.values) {
		return p.values[class.index]
	}
	var zero T
	return zero
}

// at returns a pointer to the value of a class, valid until the next call.
func (p *perClass[T]) ensure(class *classState) *T {
	for len(p.values) <= class.index {
		var zero T
		p.values = append(p.values, zero)
	}
	return &p.values[class.index]
}

// meter measures a rate of work, in seconds of work a second. Work fades with
// a time constant, the memory.
type meter struct {
	sum float64
	at  Time
}

// The memories of meters. A shorter one in place of longMemory refused sweeps while a zone
// was lost, at 80 % use of a pair of leaves; shortMemory was not compared with others.
const (
	longTimeConstant  = 2 * time.Second        // of the work sent to a leaf
	shortTimeConstant = 300 * time.Millisecond // of the work of the node
)

// add books work, in seconds, that was sent or arrived now.
func (m *meter) add(now Time, timeConstant time.Duration, work float64) {
	m.sum = m.sum*decay(now-m.at, timeConstant) + work
	m.at = now
}

// rate returns the recent work, in seconds of work a second.
func (m meter) rate(now Time, timeConstant time.Duration) float64 {
	return m.sum * decay(now-m.at, timeConstant) / timeConstant.Seconds()
}

// fade returns the weight that is left after a time.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}

// seconds converts a number of seconds.
func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
