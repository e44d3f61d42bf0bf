package rollout

import (
	"fmt"
	"time"
)

const (
	// longestTail is the part of an order's time, before its deadline, in which the
	// traffic shifts; a short order has half of its time for that. It holds the burst
	// (1.5 s), the news of the shift to all nodes (0.3 to 1 s), requests in flight (most
	// end within 1 s) and two calls to the store.
	longestTail = 5 * time.Second
	// burstTime is how long the burst lasts until its verdict: nodes learn of it within
	// 0.3 to 1 s, and report again.
	burstTime = 1500 * time.Millisecond
	// shiftTime is the least time of the shift: a report that control is idle may be older
	// than the first request after it. Not measured: chosen because it is two intervals of
	// reports.
	shiftTime = 700 * time.Millisecond
	// overtime is how long after the deadline requests at the other version may keep a
	// roll-out from completing. Not measured: chosen because a node that hangs must not
	// hold it up for good.
	overtime = 5 * time.Second
	// leastSlots is the part of the control's slots that the target needs for a shift. Not
	// measured: chosen because the rest of its leaves may still be starting.
	leastSlots = 0.5
	// leastEvidence is how many attempts at the target a shift needs, at a service with
	// busyTraffic requests or more. Not measured: chosen because with fewer requests the
	// allowance may not come to so many attempts.
	leastEvidence = 10
	busyTraffic   = 100
)

// next returns the phase to go to, and why; PhaseNone to stay.
func (d *Decider) next(now time.Duration, known *Rollout, judged *judgement, counted amount, supply Supply) (Phase, string) {
	age, deadline := known.Age(now), known.Order.Duration
	tail := min(longestTail, deadline/2)
	switch {
	case known.Order.Revision == 0:
		return PhaseRolledBack, "the order was withdrawn"
	case known.Bad != "":
		return PhaseRolledBack, known.Bad
	}
	switch known.Phase() {
	case PhaseNone:
		return PhaseTrial, "the order was heard"
	case PhaseTrial:
		return nextOfTrial(age, deadline, deadline-tail, supply)
	case PhaseBurst:
		return nextOfBurst(now-judged.since, age, deadline, counted)
	case PhaseShift:
		return d.nextOfShift(now, known, judged, age-deadline)
	}
	return PhaseNone, ""
}

func nextOfTrial(age, deadline, burst time.Duration, supply Supply) (Phase, string) {
	ample := supply.Target > 0 && float64(supply.Target) >= leastSlots*float64(supply.Control)
	switch {
	case !supply.Mixed && supply.Target > 0:
		return PhaseCompleted, "all leaves have the version"
	case age >= burst && ample:
		return PhaseBurst, fmt.Sprintf("the trial is over; slots: %d of the target, %d of the others", supply.Target, supply.Control)
	case age >= deadline:
		return PhaseRolledBack, fmt.Sprintf("too few leaves of the version came; slots: %d, of the others %d", supply.Target, supply.Control)
	}
	return PhaseNone, ""
}

func nextOfBurst(since, age, deadline time.Duration, counted amount) (Phase, string) {
	known := counted.target >= leastEvidence || counted.all < busyTraffic
	switch {
	case since >= burstTime && known:
		return PhaseShift, ""
	case since >= burstTime && age >= deadline:
		return PhaseRolledBack, fmt.Sprintf("only %d of %d attempts tried the version", counted.target, counted.all)
	}
	return PhaseNone, ""
}

func (d *Decider) nextOfShift(now time.Duration, known *Rollout, judged *judgement, late time.Duration) (Phase, string) {
	if now-judged.since < shiftTime {
		return PhaseNone, ""
	}
	busy, nodes := d.busy(now, known)
	switch {
	case busy == 0 && nodes > 0:
		return PhaseCompleted, fmt.Sprintf("the other leaves are idle, by the word of %d nodes", nodes)
	case late >= overtime:
		return PhaseCompleted, fmt.Sprintf("%d of %d nodes still use other leaves, or are behind", busy, nodes)
	}
	return PhaseNone, ""
}

// busy returns how many nodes still have attempts at other leaves, or may send some,
// and how many have reported lately.
func (d *Decider) busy(now time.Duration, known *Rollout) (busy, nodes int) {
	for _, report := range d.reports {
		if now-report.at >= reportMemory {
			continue
		}
		for _, one := range report.orders {
			if one.Service != known.Order.Service || one.Order != known.Order.Revision {
				continue
			}
			nodes++
			if !one.Phase.Shifted() || one.Busy > 0 {
				busy++
			}
		}
	}
	return busy, nodes
}
