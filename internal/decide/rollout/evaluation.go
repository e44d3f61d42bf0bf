package rollout

import (
	"fmt"
	"time"
)

const (
	// maxFailureShare is the share of failures, among minAttemptsForShare attempts or more, above
	// which a target does not get all traffic even if the control fails as often. If all leaves of
	// a service fail often, the comparison cannot tell a bad version from a good one; without
	// this limit a bad version was completed next to a control that failed as often.
	maxFailureShare     = 0.15
	minAttemptsForShare = 5
	// evaluationWindow is the period that is evaluated separately to detect a version that turned
	// bad later, and snapshotInterval the time between the snapshots that are kept for it. Counts
	// from before the window would hide the change, and a shorter window would hold too few
	// attempts.
	evaluationWindow = 4 * time.Second
	snapshotInterval = time.Second
)

// snapshot holds the counts by route as of a point in time.
type snapshot struct {
	at     time.Duration
	routes map[string]*sample
}

// evaluation is the state of a Decider for one order.
type evaluation struct {
	generation uint64 // of the order
	// phase is the current phase, which the rollout entered at phaseSince.
	phase      Phase
	phaseSince time.Duration
	// snapshots holds the counts during the last evaluationWindow, the oldest first.
	snapshots []snapshot
	// transitionReturnedAt is when a transition was last returned.
	transitionReturnedAt time.Duration
	// stale holds the counts of the target's leaves as of when they were last out of use.
	stale map[routeLeaf]Counts
}

// routeLeaf identifies a leaf of the target on a route.
type routeLeaf struct {
	route string
	leafKey
}

// markStale marks the counts of the target's leaves from before these leaves were last out of use:
// gone, draining, or in a cordoned zone. Usable holds the leaves that may get work; nil if
// all may.
//
// Without a mark, the earlier good attempts of a leaf that gets no more attempts would outweigh the
// current failures of the others: when the zone of the good leaf of a version was cordoned,
// the version got all traffic although 15 of its latest 24 attempts had failed, all at the
// remaining leaf. Bad attempts from before the mark still count.
func (e *evaluation) markStale(routes map[string]*sample, usable map[string]bool) {
	if usable == nil {
		return
	}
	for route, routeSample := range routes {
		for id, counts := range routeSample.targetByLeaf {
			key := routeLeaf{route: route, leafKey: id}
			if !usable[id.leaf] {
				e.stale[key] = *counts
			}
			if stale, ok := e.stale[key]; ok {
				routeSample.stale[id] = &stale
			}
		}
	}
}

// evaluate looks for evidence against the target in all counts and in the latest ones. It describes
// the evidence; empty if there is none.
func (e *evaluation) evaluate(now time.Duration, routes map[string]*sample) string {
	for len(e.snapshots) > 1 && now-e.snapshots[1].at >= evaluationWindow {
		e.snapshots = e.snapshots[1:]
	}
	limits := rollbackThresholds
	if e.phase == PhaseShift {
		limits = shiftThresholds
	}
	if reason := e.findRegression(routes, limits); reason != "" {
		return reason
	}
	if len(e.snapshots) == 0 || now-e.snapshots[len(e.snapshots)-1].at >= snapshotInterval {
		e.snapshots = append(e.snapshots, snapshot{at: now, routes: routes})
	}
	return ""
}

// confirmShift returns PhaseShift unless the latest counts are evidence against the target: it is
// probably worse than the control, or it fails often regardless of the control. In the latter case
// the shift is retried until the deadline.
func (e *evaluation) confirmShift(rollout *Rollout, routes map[string]*sample, late bool) (Phase, string) {
	attempts := sumAttempts(routes)
	if rollout.Bad = e.findRegression(routes, shiftThresholds); rollout.Bad != "" {
		return PhaseRolledBack, rollout.Bad
	}
	failure := e.findFailingRoute(routes)
	switch {
	case failure == "":
		return PhaseShift, fmt.Sprintf("nothing speaks against the version in %d of %d attempts", attempts.target, attempts.all)
	case late:
		return PhaseRolledBack, failure
	default:
		return PhaseNone, ""
	}
}

// findFailingRoute describes a route on which the target failed often within the evaluationWindow;
// empty if there is none.
func (e *evaluation) findFailingRoute(routes map[string]*sample) string {
	for route, routeSample := range routes {
		newest := routeSample
		if len(e.snapshots) > 0 {
			newest = routeSample.diff(e.snapshots[0].routes[route])
		}
		whole, rest, separable := newest.failureRates().sumTarget()
		if !separable {
			rest = whole
		}
		if rest.attempts >= minAttemptsForShare && rest.share() > maxFailureShare {
			return fmt.Sprintf("on route %s the target failed %.0f of %.0f attempts, and so may the other version", route, rest.bad, rest.attempts)
		}
	}
	return ""
}

// findRegression describes a route on which the target is worse, by all counts or by the latest
// ones; empty if there is none.
func (e *evaluation) findRegression(routes map[string]*sample, limits thresholds) string {
	for route, routeSample := range routes {
		reason := routeSample.describeRegression(limits)
		if reason == "" && len(e.snapshots) > 0 {
			reason = routeSample.diff(e.snapshots[0].routes[route]).describeRegression(limits)
		}
		if reason != "" {
			return fmt.Sprintf("on route %s the target %s", route, reason)
		}
	}
	return ""
}

// attemptTotals counts the attempts at a service since an order.
type attemptTotals struct{ target, all uint32 }

func sumAttempts(routes map[string]*sample) attemptTotals {
	var totals attemptTotals
	for _, routeSample := range routes {
		totals.all += routeSample.control.attempts()
		for _, counts := range routeSample.targetByLeaf {
			totals.target += counts.attempts()
			totals.all += counts.attempts()
		}
	}
	return totals
}
