package rollout

import (
	"slices"
	"time"
)

const (
	// minGatheringTime is the time for which a decider receives reports before it moves traffic to
	// a target, three report intervals for up to 60 nodes. Before that the counts of some nodes may
	// be missing.
	minGatheringTime = time.Second
	// reportRetention is the time for which the counts of a node are kept after its last report.
	// Most orders end within it.
	reportRetention = 10 * time.Minute
	// transitionRetryPause is the time between two attempts at the same transition. It limits the
	// load of retries while the store is unavailable.
	transitionRetryPause = 500 * time.Millisecond
	// tickPauseFactor is the minimum ratio of the pause after a Tick to its duration: with 225
	// orders on a fifth of a core a Tick takes 0.2 s, during which requests wait.
	tickPauseFactor = 10
)

// Supply describes the leaves of a service.
type Supply struct {
	// Target and Control are the slots of the leaves that may get work, of the target and of the
	// control.
	Target, Control int
	// Mixed reports whether leaves of another version have been known since the order.
	Mixed bool
	// Usable holds the leaves of the target that may get work, by Subject.Leaf; nil if all may.
	Usable map[string]bool
}

// nodeReport is the state that a node has reported: its latest counts, and its progress with each
// order.
type nodeReport struct {
	rows       map[Subject]Counts
	orders     []Progress
	receivedAt time.Duration
}

// Decider evaluates versions and decides on the transitions of rollouts. It is not safe for
// concurrent use.
type Decider struct {
	table       *Table
	reports     map[string]*nodeReport
	evaluations map[string]*evaluation
	// incarnation names the deciding process.
	incarnation  string
	lastReportAt time.Duration
	// reportingSince is when the current series of reports, without a pause of reportTTL, began.
	reportingSince time.Duration
}

// NewDecider returns a Decider for the rollouts in a table. Incarnation names its process.
func NewDecider(table *Table, incarnation string) *Decider {
	return &Decider{table: table, incarnation: incarnation, reports: make(map[string]*nodeReport), evaluations: make(map[string]*evaluation)}
}

// Report processes the report of a node, and returns the reply.
func (d *Decider) Report(now time.Duration, report Report) Reply {
	reply := Reply{Decider: d.incarnation}
	if report.Decider != "" && report.Decider != d.incarnation {
		return reply // the report leaves out counts that only another decider has received
	}
	if !d.Active(now) {
		d.reportingSince = now
	}
	d.lastReportAt = now
	d.recordReport(now, report)
	for _, progress := range report.Orders {
		if rollout := d.table.Lookup(progress.Service); rollout != nil {
			d.table.Merge(now, progress.toGrant(report.Node, rollout.Order))
		}
	}
	for _, progress := range report.Orders {
		rollout := d.table.Lookup(progress.Service)
		if rollout == nil || !rollout.Order.Is(progress.Order, progress.Version) {
			continue
		}
		reply.Grants = append(reply.Grants, Grant{
			Service: progress.Service, Order: progress.Order, Version: rollout.Order.Version,
			Open: rollout.isGrantOpen(now), Bad: rollout.Bad, Age: rollout.Age(now), Record: rollout.Record,
		})
	}
	return reply
}

// recordReport stores a report. Counts only grow, so that the next report corrects the effect of a
// duplicate or delayed one.
func (d *Decider) recordReport(now time.Duration, report Report) {
	stored, ok := d.reports[report.Node]
	if !ok {
		stored = &nodeReport{rows: make(map[Subject]Counts)}
		d.reports[report.Node] = stored
	}
	for _, row := range report.Rows {
		stored.rows[row.Subject] = row.Counts
	}
	stored.orders, stored.receivedAt = report.Orders, now
}

// Nodes returns the number of nodes whose counts are known.
func (d *Decider) Nodes() int { return len(d.reports) }

// isGrantOpen reports whether nodes may spend their allowances.
func (r *Rollout) isGrantOpen(now time.Duration) bool {
	phase := r.Phase()
	return (phase == PhaseTrial || phase == PhaseBurst) && r.Bad == "" && r.Age(now) < r.Order.Duration
}

// Active reports whether a node has reported within reportTTL, so that this node is the decider.
func (d *Decider) Active(now time.Duration) bool {
	return len(d.reports) > 0 && now-d.lastReportAt < reportTTL
}

// TickPause returns the minimum pause between the start of a Tick of the given duration and the
// next Tick.
func TickPause(took time.Duration) time.Duration { return tickPauseFactor * took }

// Tick evaluates the targets of all open rollouts, and returns the transitions to write, also of
// phases that a restored store has lost. A transition that was not applied, or whose result is
// unknown, is returned again.
func (d *Decider) Tick(now time.Duration, clock time.Time, supply func(service string) Supply) []Transition {
	d.expire(now)
	var transitions []Transition
	counts := d.aggregateCounts()
	for _, service := range d.table.UnsettledServices() {
		rollout := d.table.Lookup(service)
		eval := d.evaluationFor(now, service, rollout)
		phase, reason := PhaseNone, ""
		if rollout.IsOpen() {
			phase, reason = d.evaluateTarget(now, rollout, eval, counts[service], supply(service))
		}
		if phase == PhaseNone && rollout.isRecordLost() {
			phase, reason = rollout.Phase(), rollout.Record.Reason
		}
		if d.table.isOrderLost(rollout) {
			continue
		}
		if phase != PhaseTrial && phase != PhaseRolledBack && now-d.reportingSince < minGatheringTime {
			continue
		}
		if phase == PhaseNone || eval.transitionReturnedAt > 0 && now-eval.transitionReturnedAt < transitionRetryPause {
			continue
		}
		eval.transitionReturnedAt = now
		transitions = append(transitions, rollout.transition(phase, reason, clock.Add(-rollout.Age(now))))
	}
	return transitions
}

// evaluateTarget evaluates the target of an open rollout, and returns the phase to move to with the
// reason; PhaseNone to stay in the current phase.
func (d *Decider) evaluateTarget(now time.Duration, rollout *Rollout, eval *evaluation, routes map[string]*sample, available Supply) (Phase, string) {
	eval.markStale(routes, available.Usable)
	if rollout.Bad == "" {
		rollout.Bad = eval.evaluate(now, routes)
	}
	phase, reason := d.nextPhase(now, rollout, eval, sumAttempts(routes), available)
	if phase == PhaseShift {
		return eval.confirmShift(rollout, routes, rollout.Age(now) >= rollout.Order.Duration)
	}
	return phase, reason
}

// transition returns the transition to a phase.
func (r *Rollout) transition(phase Phase, reason string, orderedAt time.Time) Transition {
	record := Record{
		Service: r.Order.Service, Order: r.Order.Number(), Version: r.Version(),
		Phase: phase, Reason: reason, OrderedAt: orderedAt,
	}
	if !r.Order.Exists() {
		record.Order = max(r.Record.Order, r.Stored.Order)
	}
	return Transition{Record: record, Expected: r.Stored.Written(), Order: r.Order.Written}
}

// expire drops the state of orders that ended or were replaced, and of nodes that have not reported
// for reportRetention. Counts under an order that is not known yet stay, because nodes do not
// report them again.
func (d *Decider) expire(now time.Duration) {
	unsettled := d.table.UnsettledServices()
	for service := range d.evaluations {
		if !slices.Contains(unsettled, service) {
			delete(d.evaluations, service)
		}
	}
	for node, report := range d.reports {
		if now-report.receivedAt > reportRetention {
			delete(d.reports, node)
			continue
		}
		for subject := range report.rows {
			if rollout := d.table.Lookup(subject.Service); rollout != nil && subject.Order < rollout.Order.Number() {
				delete(report.rows, subject)
			}
		}
	}
}

func (d *Decider) evaluationFor(now time.Duration, service string, rollout *Rollout) *evaluation {
	eval, ok := d.evaluations[service]
	if !ok || eval.generation != rollout.Generation {
		eval = &evaluation{generation: rollout.Generation, phaseSince: now, stale: make(map[routeLeaf]Counts)}
		d.evaluations[service] = eval
	}
	if phase := rollout.Phase(); eval.phase != phase {
		eval.phase, eval.phaseSince, eval.transitionReturnedAt = phase, now, 0
	}
	return eval
}

// aggregateCounts adds up the counts of all nodes under the orders in force, by service and route.
func (d *Decider) aggregateCounts() map[string]map[string]*sample {
	services := make(map[string]map[string]*sample)
	for _, report := range d.reports {
		for subject, counts := range report.rows {
			rollout := d.table.Lookup(subject.Service)
			if rollout == nil || !rollout.Order.Is(subject.Order, subject.Version) {
				continue
			}
			routes, ok := services[subject.Service]
			if !ok {
				routes = make(map[string]*sample)
				services[subject.Service] = routes
			}
			routeSample, ok := routes[subject.Route]
			if !ok {
				routeSample = newSample()
				routes[subject.Route] = routeSample
			}
			routeSample.add(subject, &counts)
		}
	}
	return services
}
