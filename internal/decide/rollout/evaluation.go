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
	mostFailing   = 0.15
	leastForShare = 5
	// window is the time for which a version that turned bad later is judged apart, and
	// windowStep the time between two states that are kept for it. Not measured: chosen
	// because counts from before it hide a change, and shorter ones hold too few attempts.
	window     = 4 * time.Second
	windowStep = time.Second
)

// state is a sample at some time.
type state struct {
	at     time.Duration
	routes map[string]*sample
}

// judgement is what a Decider knows of one order.
type judgement struct {
	order uint64
	// phase is the last one seen, since then.
	phase Phase
	since time.Duration
	// states are the counts at some times of the last window, the oldest first.
	states []state
	// triedAt is when a transition was last returned.
	triedAt time.Duration
	// stale is what was counted at leaves of the target when they were last out of use.
	stale map[countedAt]Counts
}

// countedAt is a leaf of the target on a route.
type countedAt struct {
	route string
	place
}

// dropStale marks in some counts what of them was counted at leaves of the target before
// these were last out of use: gone, draining, or in a zone out of service. Usable holds
// those that may get work; nil for all.
//
// A leaf in trouble is no fault of the version while others speak for it. One that cannot
// be sent to speaks for nothing: a version that turned bad when the zone of its good leaf
// went out of service got all traffic, with 15 of its newest 24 attempts failed, all at
// the leaf that was left. What was bad there still counts.
func (t *judgement) dropStale(routes map[string]*sample, usable map[string]bool) {
	if usable == nil {
		return
	}
	for route, counted := range routes {
		for at, counts := range counted.target {
			key := countedAt{route: route, place: at}
			if !usable[at.leaf] {
				t.stale[key] = *counts
			}
			if stale, found := t.stale[key]; found {
				counted.stale[at] = &stale
			}
		}
	}
}

// judge looks for evidence that the target is bad, in all counts and in the newest.
// It says what it found; nothing if there is none.
func (t *judgement) judge(now time.Duration, routes map[string]*sample) string {
	for len(t.states) > 1 && now-t.states[1].at >= window {
		t.states = t.states[1:]
	}
	how := certain
	if t.phase == PhaseShift {
		how = doubtful
	}
	if why := t.evidence(routes, how); why != "" {
		return why
	}
	if len(t.states) == 0 || now-t.states[len(t.states)-1].at >= windowStep {
		t.states = append(t.states, state{at: now, routes: routes})
	}
	return ""
}

// mayShift returns the shift, unless the newest counts speak against it: the target is
// likely to be worse, or fails often, whatever the others do. In the latter case there
// is time until the deadline.
func (t *judgement) mayShift(known *Rollout, routes map[string]*sample, late bool) (Phase, string) {
	counted := amountOf(routes)
	if known.Bad = t.evidence(routes, doubtful); known.Bad != "" {
		return PhaseRolledBack, known.Bad
	}
	failing := t.failing(routes)
	switch {
	case failing == "":
		return PhaseShift, fmt.Sprintf("nothing speaks against the version in %d of %d attempts", counted.target, counted.all)
	case late:
		return PhaseRolledBack, failing
	default:
		return PhaseNone, ""
	}
}

// failing says on which route the target has failed often of late; empty if on none.
func (t *judgement) failing(routes map[string]*sample) string {
	for route, counted := range routes {
		newest := counted
		if len(t.states) > 0 {
			newest = counted.since(t.states[0].routes[route])
		}
		whole, all, some := newest.failures().ofTarget()
		if !some {
			all = whole
		}
		if all.asked >= leastForShare && all.share() > mostFailing {
			return fmt.Sprintf("on route %s the target failed %.0f of %.0f attempts, and so may the other version", route, all.bad, all.asked)
		}
	}
	return ""
}

// evidence says on which route the target is bad, by all counts or by the newest;
// empty if on none.
func (t *judgement) evidence(routes map[string]*sample, how certainty) string {
	for route, counted := range routes {
		why := counted.bad(how)
		if why == "" && len(t.states) > 0 {
			why = counted.since(t.states[0].routes[route]).bad(how)
		}
		if why != "" {
			return fmt.Sprintf("on route %s the target %s", route, why)
		}
	}
	return ""
}

// amount is how much is known of a service since an order.
type amount struct{ target, all uint32 }

func amountOf(routes map[string]*sample) amount {
	var known amount
	for _, counted := range routes {
		known.all += counted.control.asked()
		for _, counts := range counted.target {
			known.target += counts.asked()
			known.all += counts.asked()
		}
	}
	return known
}
