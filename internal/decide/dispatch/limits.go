package dispatch

import "time"

// limitFor returns how many attempts may be in flight on the leaf when one of
// the priority is sent. The most urgent work may fill the limit. Other work
// only takes slots that are thought to be free of the work of other nodes, so
// that it makes room for the urgent work of all nodes.
func (d *Dispatcher) limitFor(l *leafState, priority int, others float64) int {
	limit := l.limiter.Current()
	if priority <= highestPriority || d.config.Limit.Disabled || d.config.EqualSlots {
		return limit
	}
	busy := others * fade(d.now-l.othersAt, busyMemory)
	return min(limit, int(float64(l.slots)-busy+freeSlotTolerance))
}

// busyMemory is the time constant with which a report of busy slots loses its
// force to hold work back, so that the work does not wait for a leaf which
// nobody asks.
const busyMemory = 200 * time.Millisecond

// freeSlotTolerance is how much of a slot others may be thought to use before
// it does not count as free.
const freeSlotTolerance = 0.5

// full reports whether the limit of attempts in flight is reached.
func (l *leafState) full() bool {
	return len(l.running) >= l.limiter.Current()
}
