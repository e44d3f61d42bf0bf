package rollout

import (
	"fmt"
	"time"
)

const (
	// mostFailing is the share of failures, of leastForShare attempts or more, above which
	// a target gets no traffic though the control may fail as often: where all leaves of a
	// service are in trouble, nothing tells a bad version from a good one. Without it a
	// bad version was completed beside a control that failed as often, and got 58 requests
	// long after its 50th bad answer.
	maxFailureShare     = 0.15
	minAttemptsForShare = 5
	// window is the time for which a version that turned bad later is judged apart, and
	// windowStep the time between two states that are kept for it. Not measured: chosen
	// because counts from before it hide a change, and shorter ones hold too few attempts.
	evaluationWindow = 4 * time.Second
	snapshotInterval = time.Second
)

// state is a sample at some time.
type snapshot struct {
	at     time.Duration
	routes map[string]*sample
}

// judgement is what a Decider knows of one order.
type evaluation struct {
	order uint64
	// phase is the last one seen, since then.
	phase      Phase
	phaseSince time.Duration
	// states are the counts at some times of the last window, the oldest first.
	snapshots []snapshot
	// triedAt is when a transition was last returned.
	transitionReturnedAt time.Duration
	// stale is what was counted at leaves of the target when they were last out of use.
	stale map[routeLeaf]Counts
}

// countedAt is a leaf of the target on a route.
type routeLeaf struct {
	route string
	leafKey
}

// dropStale marks in some counts what of them was counted at leaves of the target before
// these were last out of use: gone, draining, or in a zone out of service. Usable holds
// those that may get work; nil for all.
//
// A leaf in trouble is no fault of the version while others speak for it. One that cannot
// be sent to speaks for nothing: a version that turned bad when the zone of its good leaf
// went out of service got all traffic, with 15 of its newest 24 attempts failed, all at
// the leaf that was left. What was bad there still counts.
func (t *evaluation) markStale(routes map[string]*sample, usable map[string]bool) {
	if usable == nil {
		return
	}
	for route, current := range routes {
		for id, counts := range current.targetByLeaf {
			key := routeLeaf{route: route, leafKey: id}
			if !usable[id.leaf] {
				t.stale[key] = *counts
			}
			if stale, ok := t.stale[key]; ok {
				current.stale[id] = &stale
			}
		}
	}
}

// judge looks for evidence that the target is bad, in all counts and in the newest.
// It says what it found; nothing if there is none.
func (t *evaluation) evaluate(now time.Duration, routes map[string]*sample) string {
	for len(t.snapshots) > 1 && now-t.snapshots[1].at >= evaluationWindow {
		t.snapshots = t.snapshots[1:]
	}
	limits := rollbackThresholds
	if t.phase == PhaseShift {
		limits = shiftThresholds
	}
	if reason := t.findRegression(routes, limits); reason != "" {
		return reason
	}
	if len(t.snapshots) == 0 || now-t.snapshots[len(t.snapshots)-1].at >= snapshotInterval {
		t.snapshots = append(t.snapshots, snapshot{at: now, routes: routes})
	}
	return ""
}

// mayShift returns the shift, unless the newest counts speak against it: the target is
// likely to be worse, or fails often, whatever the others do. In the latter case there
// is time until the deadline.
func (t *evaluation) confirmShift(rollout *Rollout, routes map[string]*sample, late bool) (Phase, string) {
	attempts := sumAttempts(routes)
	if rollout.Bad = t.findRegression(routes, shiftThresholds); rollout.Bad != "" {
		return PhaseRolledBack, rollout.Bad
	}
	failure := t.findFailingRoute(routes)
	switch {
	case failure == "":
		return PhaseShift, fmt.Sprintf("nothing speaks against the version in %d of %d attempts", attempts.target, attempts.all)
	case late:
		return PhaseRolledBack, failure
	default:
		return PhaseNone, ""
	}
}

// failing says on which route the target has failed often of late; empty if on none.
func (t *evaluation) findFailingRoute(routes map[string]*sample) string {
	for route, current := range routes {
		newest := current
		if len(t.snapshots) > 0 {
			newest = current.diff(t.snapshots[0].routes[route])
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

// evidence says on which route the target is bad, by all counts or by the newest;
// empty if on none.
func (t *evaluation) findRegression(routes map[string]*sample, limits thresholds) string {
	for route, current := range routes {
		reason := current.describeRegression(limits)
		if reason == "" && len(t.snapshots) > 0 {
			reason = current.diff(t.snapshots[0].routes[route]).describeRegression(limits)
		}
		if reason != "" {
			return fmt.Sprintf("on route %s the target %s", route, reason)
		}
	}
	return ""
}

// amount is how much is known of a service since an order.
type attemptTotals struct{ target, all uint32 }

func sumAttempts(routes map[string]*sample) attemptTotals {
	var totals attemptTotals
	for _, current := range routes {
		totals.all += current.control.attempts()
		for _, counts := range current.targetByLeaf {
			totals.target += counts.attempts()
			totals.all += counts.attempts()
		}
	}
	return totals
}
