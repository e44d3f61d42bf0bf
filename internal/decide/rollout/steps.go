package rollout

import (
	"fmt"
	"time"
)

const (
	// maxShiftTime is the time before an order's deadline at which the burst and the shift start; a
	// short order uses half of its time. It covers the burst (1.5 s), the propagation of the shift
	// to all nodes (0.3 to 1 s), requests in flight (most end within 1 s) and two calls to the
	// store.
	maxShiftTime = 5 * time.Second
	// minBurstTime is the duration of the burst before the decision about the shift: nodes learn of
	// the burst within 0.3 to 1 s, and must report again afterwards.
	minBurstTime = 1500 * time.Millisecond
	// minShiftTime is the minimum duration of the shift, two report intervals: a report that the
	// control is idle may be older than the first request after the report.
	minShiftTime = 700 * time.Millisecond
	// completionGrace is the time after the deadline for which requests at the control may delay
	// the completion of a rollout. It keeps a hanging node from delaying the completion forever.
	completionGrace = 5 * time.Second
	// minSlotRatio is the ratio of the target's slots to the control's slots that a shift needs.
	// The remaining leaves of the target may still be starting.
	minSlotRatio = 0.5
	// minTargetAttempts is the number of attempts at the target that a shift needs, at a service
	// with significantTraffic requests or more. With fewer requests the allowance may not be
	// sufficient for that many attempts.
	minTargetAttempts  = 10
	significantTraffic = 100
)

// nextPhase returns the phase to move to, and the reason; PhaseNone to stay in the current phase.
func (d *Decider) nextPhase(now time.Duration, rollout *Rollout, eval *evaluation, attempts attemptTotals, supply Supply) (Phase, string) {
	age, deadline := rollout.Age(now), rollout.Order.Duration
	shiftTime := min(maxShiftTime, deadline/2)
	switch {
	case !rollout.Order.Exists():
		return PhaseRolledBack, "the order was withdrawn"
	case rollout.Bad != "":
		return PhaseRolledBack, rollout.Bad
	}
	switch rollout.Phase() {
	case PhaseNone:
		return PhaseTrial, "the order was heard"
	case PhaseTrial:
		return nextFromTrial(age, deadline, deadline-shiftTime, supply)
	case PhaseBurst:
		return nextFromBurst(now-eval.phaseSince, age, deadline, attempts)
	case PhaseShift:
		return d.nextFromShift(now, rollout, eval, age-deadline)
	}
	return PhaseNone, ""
}

// nextFromTrial returns the next phase of a rollout in its trial. The burst may start at the age
// burstAt.
func nextFromTrial(age, deadline, burstAt time.Duration, supply Supply) (Phase, string) {
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

// nextFromBurst returns the next phase of a rollout that has been in its burst for inPhase.
func nextFromBurst(inPhase, age, deadline time.Duration, attempts attemptTotals) (Phase, string) {
	enoughEvidence := attempts.target >= minTargetAttempts || attempts.all < significantTraffic
	switch {
	case inPhase >= minBurstTime && enoughEvidence:
		return PhaseShift, ""
	case inPhase >= minBurstTime && age >= deadline:
		return PhaseRolledBack, fmt.Sprintf("only %d of %d attempts tried the version", attempts.target, attempts.all)
	}
	return PhaseNone, ""
}

// nextFromShift returns the next phase of a rollout in its shift. pastDeadline is negative before
// the deadline.
func (d *Decider) nextFromShift(now time.Duration, rollout *Rollout, eval *evaluation, pastDeadline time.Duration) (Phase, string) {
	if now-eval.phaseSince < minShiftTime {
		return PhaseNone, ""
	}
	busy, nodes := d.countBusyNodes(now, rollout)
	switch {
	case busy == 0 && nodes > 0:
		return PhaseCompleted, fmt.Sprintf("the other leaves are idle, by the word of %d nodes", nodes)
	case pastDeadline >= completionGrace:
		return PhaseCompleted, fmt.Sprintf("%d of %d nodes still use other leaves, or are behind", busy, nodes)
	}
	return PhaseNone, ""
}

// countBusyNodes returns the number of nodes that still have attempts in flight at the control, or
// may still send some, and the number of nodes that reported within reportTTL.
func (d *Decider) countBusyNodes(now time.Duration, rollout *Rollout) (busy, nodes int) {
	for _, report := range d.reports {
		if now-report.receivedAt >= reportTTL {
			continue
		}
		for _, progress := range report.orders {
			if progress.Service != rollout.Order.Service || !rollout.Order.Is(progress.Order, progress.Version) {
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
