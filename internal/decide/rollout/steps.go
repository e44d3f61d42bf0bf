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
	maxShiftTime = 5 * time.Second
	// burstTime is how long the burst lasts until its verdict: nodes learn of it within
	// 0.3 to 1 s, and report again.
	minBurstTime = 1500 * time.Millisecond
	// shiftTime is the least time of the shift: a report that control is idle may be older
	// than the first request after it. Not measured: chosen because it is two intervals of
	// reports.
	minShiftTime = 700 * time.Millisecond
	// overtime is how long after the deadline requests at the other version may keep a
	// roll-out from completing. Not measured: chosen because a node that hangs must not
	// hold it up for good.
	completionGrace = 5 * time.Second
	// leastSlots is the part of the control's slots that the target needs for a shift. Not
	// measured: chosen because the rest of its leaves may still be starting.
	minSlotRatio = 0.5
	// leastEvidence is how many attempts at the target a shift needs, at a service with
	// busyTraffic requests or more. Not measured: chosen because with fewer requests the
	// allowance may not come to so many attempts.
	minTargetAttempts  = 10
	significantTraffic = 100
)

// next returns the phase to go to, and why; PhaseNone to stay.
func (d *Decider) nextPhase(now time.Duration, rollout *Rollout, eval *evaluation, attempts attemptTotals, supply Supply) (Phase, string) {
	age, deadline := rollout.Age(now), rollout.Order.Duration
	tail := min(maxShiftTime, deadline/2)
	switch {
	case rollout.Order.Revision == 0:
		return PhaseRolledBack, "the order was withdrawn"
	case rollout.Bad != "":
		return PhaseRolledBack, rollout.Bad
	}
	switch rollout.Phase() {
	case PhaseNone:
		return PhaseTrial, "the order was heard"
	case PhaseTrial:
		return nextAfterTrial(age, deadline, deadline-tail, supply)
	case PhaseBurst:
		return nextAfterBurst(now-eval.phaseSince, age, deadline, attempts)
	case PhaseShift:
		return d.nextAfterShift(now, rollout, eval, age-deadline)
	}
	return PhaseNone, ""
}

func nextAfterTrial(age, deadline, burstAt time.Duration, supply Supply) (Phase, string) {
	enoughSlots := supply.Target > 0 && float64(supply.Target) >= minSlotRatio*float64(supply.Control)
	switch {
	case !supply.Mixed && supply.Target > 0:
		return PhaseCompleted, "all leaves have the version"
	case age >= burstAt && enoughSlots:
		return PhaseBurst, fmt.Sprintf("the trial is over; slots: %d of the target, %d of the others", supply.Target, supply.Control)
	case age >= deadline:
		return PhaseRolledBack, fmt.Sprintf("too few leaves of the version came; slots: %d, of the others %d", supply.Target, supply.Control)
	}
	return PhaseNone, ""
}

func nextAfterBurst(inPhase, age, deadline time.Duration, attempts attemptTotals) (Phase, string) {
	enoughEvidence := attempts.target >= minTargetAttempts || attempts.all < significantTraffic
	switch {
	case inPhase >= minBurstTime && enoughEvidence:
		return PhaseShift, ""
	case inPhase >= minBurstTime && age >= deadline:
		return PhaseRolledBack, fmt.Sprintf("only %d of %d attempts tried the version", attempts.target, attempts.all)
	}
	return PhaseNone, ""
}

func (d *Decider) nextAfterShift(now time.Duration, rollout *Rollout, eval *evaluation, late time.Duration) (Phase, string) {
	if now-eval.phaseSince < minShiftTime {
		return PhaseNone, ""
	}
	busy, nodes := d.countBusyNodes(now, rollout)
	switch {
	case busy == 0 && nodes > 0:
		return PhaseCompleted, fmt.Sprintf("the other leaves are idle, by the word of %d nodes", nodes)
	case late >= completionGrace:
		return PhaseCompleted, fmt.Sprintf("%d of %d nodes still use other leaves, or are behind", busy, nodes)
	}
	return PhaseNone, ""
}

// busy returns how many nodes still have attempts at other leaves, or may send some,
// and how many have reported lately.
func (d *Decider) countBusyNodes(now time.Duration, rollout *Rollout) (busy, nodes int) {
	for _, report := range d.reports {
		if now-report.receivedAt >= reportTTL {
			continue
		}
		for _, progress := range report.orders {
			if progress.Service != rollout.Order.Service || progress.Order != rollout.Order.Revision {
				continue
			}
			nodes++
			if !progress.Phase.Shifted() || progress.Busy > 0 {
				busy++
			}
		}
	}
	return busy, nodes
}
