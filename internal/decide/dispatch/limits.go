// Rule: limits per leaf. This node keeps at most as many attempts in flight on a leaf as the leaf's
// limiter allows (package limit). Work that is not of the highest priority uses only slots that are
// estimated to be free of the work of other nodes, unless Config.EqualSlots is set.
//
// Inputs: own attempts in flight, the limit, slots of the leaf, the estimated attempts of other
// nodes and the age of the report on which the estimate is based, the priority of the query.
//
// Reason: limits alone do not preserve priorities between nodes, because nodes without urgent work
// would keep the slots busy while others have urgent work waiting. At 150 % load, 0.43 to 0.53 of
// the urgent queries get a complete answer without limits, 0.35 without the rule on free slots, and
// all of them with both. Where no class is more urgent than the others, EqualSlots makes answers
// more valuable.

package dispatch

import "time"

// limitFor returns the number of own attempts that may be in flight on the leaf for work of the
// given priority.
func (d *Dispatcher) limitFor(l *leafState, priority int, others float64) int {
	limit := l.limiter.Current()
	if priority <= highestPriority || d.config.EqualSlots {
		return limit
	}
	busy := others * decay(d.now-l.loadReports.at, busySlotsTimeConstant)
	return min(limit, int(float64(l.slots)-busy+freeSlotTolerance))
}

// busySlotsTimeConstant is the time constant with which a report of busy slots stops withholding
// work. Without the decay, work waits up to 3 s for leaves to which no node sends anything.
const busySlotsTimeConstant = 200 * time.Millisecond

// freeSlotTolerance is the estimated use of a slot by other nodes up to which the slot counts as
// free. It rounds the estimate.
const freeSlotTolerance = 0.5

// full reports whether the attempts in flight have reached the limit.
func (l *leafState) full() bool {
	return len(l.running) >= l.limiter.Current()
}
