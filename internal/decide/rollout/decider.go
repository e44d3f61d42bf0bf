package rollout

import (
	"fmt"
	"slices"
	"time"
)

const (
	// longestTail is the part of an order's time, before its deadline, in which the
	// traffic shifts; a short order has half of its time for that. It holds the burst
	// (1.5 s), the word of the shift to all nodes (0.3 to 1 s), requests in flight
	// (most end within 1 s) and two calls to the store.
	longestTail = 5 * time.Second
	// burstTime is how long the burst lasts until its verdict: nodes hear of it
	// within 0.3 to 1 s, and report again.
	burstTime = 1500 * time.Millisecond
	// shiftTime is the least time of the shift: a word that control is idle may be
	// older than the first request after it.
	shiftTime = 700 * time.Millisecond
	// overtime is how long after the deadline requests at the other version may keep
	// a roll-out from completing.
	overtime = 5 * time.Second
	// leastSlots is the part of the others' slots that the target needs.
	leastSlots = 0.5
	// leastEvidence is how many attempts at the target a shift needs, at a service
	// with busyTraffic requests or more.
	leastEvidence = 10
	busyTraffic   = 100
	// mostFailing is the share of failures, of leastForShare attempts or more, above
	// which a target gets no traffic though others may fail as often: where all leaves
	// of a service are in trouble, nothing tells a bad version from a good one.
	mostFailing   = 0.15
	leastForShare = 5
	// window is the time for which a version that turned bad later is judged apart,
	// and windowStep the time between two states that are kept for it.
	window     = 4 * time.Second
	windowStep = time.Second
	// gathering is how long a decider hears reports before it moves traffic to a
	// target: until then the counts of some nodes may be missing.
	gathering = time.Second
	// longGone is how long the counts of a node are kept that says nothing any more:
	// longer than most orders last.
	longGone = 10 * time.Minute
	// writePause is the time between two tries of the same transition.
	writePause = 500 * time.Millisecond
)

// Supply is what there is of a service's leaves.
type Supply struct {
	// Target and Control are the slots of leaves that may get work, of the target
	// and of the others.
	Target, Control int
	// Mixed says that leaves of another version were known since the order.
	Mixed bool
}

// heard is what a node has reported: its newest counts, and how far it was last.
type heard struct {
	rows   map[Subject]Counts
	orders []Progress
	at     time.Duration
}

// state is a sample at some time.
type state struct {
	at     time.Duration
	routes map[string]*sample
}

// trial is what a Decider knows of one order.
type trial struct {
	order uint64
	// phase is the last one seen, since then.
	phase Phase
	since time.Duration
	// states are the counts at some times of the last window, the oldest first.
	states []state
	// triedAt is when a transition was last returned.
	triedAt time.Duration
}

// Decider judges versions and takes the steps of roll-outs. It is not safe for
// concurrent use.
type Decider struct {
	book    *Book
	reports map[string]*heard
	trials  map[string]*trial
	// incarnation names the process that decides.
	incarnation string
	last        time.Duration // of the last report
	// begun is since when reports come without a long pause.
	begun time.Duration
}

// NewDecider returns a Decider of the roll-outs in a book, with the name of its
// process.
func NewDecider(book *Book, incarnation string) *Decider {
	return &Decider{book: book, incarnation: incarnation, reports: make(map[string]*heard), trials: make(map[string]*trial)}
}

// Report takes in what a node tells, and answers it.
func (d *Decider) Report(now time.Duration, report Report) Reply {
	reply := Reply{Decider: d.incarnation}
	if report.Decider != "" && report.Decider != d.incarnation {
		return reply // it lacks what another one was told
	}
	if !d.Active(now) {
		d.begun = now
	}
	d.last = now
	d.keep(now, report)
	for _, one := range report.Orders {
		d.book.Heard(now, one.Service, one.Order, one.Age, Record{}, one.Bad)
	}
	for _, one := range report.Orders {
		known := d.book.Of(one.Service)
		if known == nil || known.Order.Revision != one.Order {
			continue
		}
		reply.Grants = append(reply.Grants, Grant{
			Service: one.Service, Order: one.Order, Open: known.granted(now), Bad: known.Bad,
			Age: known.Age(now), Record: known.Record,
		})
	}
	return reply
}

// keep notes a report. Counts only grow, so one that comes twice or late does no harm
// that the next does not mend.
func (d *Decider) keep(now time.Duration, report Report) {
	known, found := d.reports[report.Node]
	if !found {
		known = &heard{rows: make(map[Subject]Counts)}
		d.reports[report.Node] = known
	}
	for _, row := range report.Rows {
		known.rows[row.Subject] = row.Counts
	}
	known.orders, known.at = report.Orders, now
}

// Nodes returns how many nodes' counts are known.
func (d *Decider) Nodes() int { return len(d.reports) }

// granted reports whether nodes may spend their allowances.
func (r *Rollout) granted(now time.Duration) bool {
	phase := r.Phase()
	return (phase == PhaseTrial || phase == PhaseBurst) && r.Bad == "" && r.Age(now) < r.Order.Duration
}

// Active reports whether a node has reported lately: this one decides.
func (d *Decider) Active(now time.Duration) bool {
	return len(d.reports) > 0 && now-d.last < reportMemory
}

// Tick judges the targets of all open roll-outs, and returns the steps to take. A
// step that is not taken, or whose fate is not known, is returned again.
func (d *Decider) Tick(now time.Duration, clock time.Time, supply func(service string) Supply) []Transition {
	d.forget(now)
	var steps []Transition
	counted := d.collect()
	for _, service := range d.book.Open() {
		known := d.book.Of(service)
		judged := d.trialOf(now, service, known)
		routes := counted[service]
		if known.Bad == "" {
			known.Bad = judged.judge(now, routes)
		}
		phase, reason := d.next(now, known, judged, amountOf(routes), supply(service))
		if phase == PhaseShift {
			phase, reason = judged.mayShift(known, routes, known.Age(now) >= known.Order.Duration)
		}
		if phase != PhaseTrial && phase != PhaseRolledBack && now-d.begun < gathering {
			continue
		}
		if phase == PhaseNone || judged.triedAt > 0 && now-judged.triedAt < writePause {
			continue
		}
		judged.triedAt = now
		steps = append(steps, known.transition(phase, reason, clock.Add(-known.Age(now))))
	}
	return steps
}

// transition makes the step to a phase.
func (r *Rollout) transition(phase Phase, reason string, orderedAt time.Time) Transition {
	record := Record{
		Service: r.Order.Service, Order: r.Order.Revision, Version: r.Version(),
		Phase: phase, Reason: reason, OrderedAt: orderedAt,
	}
	if r.Order.Revision == 0 {
		record.Order = r.Record.Order
	}
	return Transition{Record: record, Former: r.Record.Revision, Order: r.Order.Revision}
}

// forget drops what is known of orders that are closed or were replaced, and of nodes
// that are long gone. What is told of an order that is not known here yet stays: it is
// not told again.
func (d *Decider) forget(now time.Duration) {
	open := d.book.Open()
	for service := range d.trials {
		if !slices.Contains(open, service) {
			delete(d.trials, service)
		}
	}
	for node, report := range d.reports {
		if now-report.at > longGone {
			delete(d.reports, node)
			continue
		}
		for subject := range report.rows {
			if known := d.book.Of(subject.Service); known != nil && subject.Order < known.Order.Revision {
				delete(report.rows, subject)
			}
		}
	}
}

func (d *Decider) trialOf(now time.Duration, service string, known *Rollout) *trial {
	judged, found := d.trials[service]
	if !found || judged.order != known.Order.Revision {
		judged = &trial{order: known.Order.Revision, since: now}
		d.trials[service] = judged
	}
	if phase := known.Phase(); judged.phase != phase {
		judged.phase, judged.since, judged.triedAt = phase, now, 0
	}
	return judged
}

// collect adds up the counts of all nodes under the orders in force, by service and
// route.
func (d *Decider) collect() map[string]map[string]*sample {
	services := make(map[string]map[string]*sample)
	for _, report := range d.reports {
		for subject, counts := range report.rows {
			known := d.book.Of(subject.Service)
			if known == nil || known.Order.Revision != subject.Order {
				continue
			}
			routes, found := services[subject.Service]
			if !found {
				routes = make(map[string]*sample)
				services[subject.Service] = routes
			}
			counted, found := routes[subject.Route]
			if !found {
				counted = newSample()
				routes[subject.Route] = counted
			}
			counted.add(subject, &counts)
		}
	}
	return services
}

// judge looks for evidence that the target is bad, in all counts and in the newest.
// It says what it found; nothing if there is none.
func (t *trial) judge(now time.Duration, routes map[string]*sample) string {
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
func (t *trial) mayShift(known *Rollout, routes map[string]*sample, late bool) (Phase, string) {
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
func (t *trial) failing(routes map[string]*sample) string {
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
func (t *trial) evidence(routes map[string]*sample, how certainty) string {
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

// next returns the phase to go to, and why; PhaseNone to stay.
func (d *Decider) next(now time.Duration, known *Rollout, judged *trial, counted amount, supply Supply) (Phase, string) {
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

func (d *Decider) nextOfShift(now time.Duration, known *Rollout, judged *trial, late time.Duration) (Phase, string) {
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
