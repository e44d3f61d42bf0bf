package rollout

import (
	"slices"
	"time"
)

const (
	// gathering is how long a decider receives reports before it moves traffic to a
	// target: until then the counts of some nodes may be missing. Not measured: chosen
	// because it is three intervals of reports, which are 0.3 s for up to 60 nodes.
	gathering = time.Second
	// longGone is how long the counts of a node are kept that reports nothing any more.
	// Not measured: chosen because it is longer than most orders last.
	longGone = 10 * time.Minute
	// writePause is the time between two tries of the same transition. Not measured:
	// chosen because a store that is away need not be asked more often.
	writePause = 500 * time.Millisecond
	// tickPause is how many times longer than a Tick the pause after it is at least: with
	// 225 orders on a fifth of a core one takes 0.2 s, in which requests wait.
	tickPause = 10
)

// Supply is what there is of a service's leaves.
type Supply struct {
	// Target and Control are the slots of leaves that may get work, of the target
	// and of the others.
	Target, Control int
	// Mixed says that leaves of another version were known since the order.
	Mixed bool
	// Usable holds the leaves of the target that may get work, by Subject.Leaf; nil if
	// all may.
	Usable map[string]bool
}

// nodeReport is what a node has reported: its newest counts, and how far it was last.
type nodeReport struct {
	rows   map[Subject]Counts
	orders []Progress
	at     time.Duration
}

// Decider judges versions and takes the steps of roll-outs. It is not safe for
// concurrent use.
type Decider struct {
	table      *Table
	reports    map[string]*nodeReport
	judgements map[string]*judgement
	// incarnation names the process that decides.
	incarnation string
	last        time.Duration // of the last report
	// begun is since when reports come without a long pause.
	begun time.Duration
}

// NewDecider returns a Decider of the roll-outs in a table, with the name of its
// process.
func NewDecider(table *Table, incarnation string) *Decider {
	return &Decider{table: table, incarnation: incarnation, reports: make(map[string]*nodeReport), judgements: make(map[string]*judgement)}
}

// Report takes in the report of a node, and answers it.
func (d *Decider) Report(now time.Duration, report Report) Reply {
	reply := Reply{Decider: d.incarnation}
	if report.Decider != "" && report.Decider != d.incarnation {
		return reply // it lacks what another decider has received
	}
	if !d.Active(now) {
		d.begun = now
	}
	d.last = now
	d.keep(now, report)
	for _, one := range report.Orders {
		d.table.Merge(now, one.Service, one.Order, one.Age, Record{}, one.Bad)
	}
	for _, one := range report.Orders {
		known := d.table.Of(one.Service)
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

// keep takes in a report. Counts only grow, so one that comes twice or late does no harm
// that the next does not mend.
func (d *Decider) keep(now time.Duration, report Report) {
	known, found := d.reports[report.Node]
	if !found {
		known = &nodeReport{rows: make(map[Subject]Counts)}
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

// TickPause returns the least pause from the start of a Tick, which took some time, to the
// next.
func TickPause(took time.Duration) time.Duration { return tickPause * took }

// Tick judges the targets of all open roll-outs, and returns the steps to take. A
// step that is not taken, or whose fate is not known, is returned again.
func (d *Decider) Tick(now time.Duration, clock time.Time, supply func(service string) Supply) []Transition {
	d.forget(now)
	var steps []Transition
	counted := d.collect()
	for _, service := range d.table.Open() {
		known := d.table.Of(service)
		judged := d.judgementOf(now, service, known)
		routes, there := counted[service], supply(service)
		judged.dropStale(routes, there.Usable)
		if known.Bad == "" {
			known.Bad = judged.judge(now, routes)
		}
		phase, reason := d.next(now, known, judged, amountOf(routes), there)
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
// that are long gone. Counts under an order that is not known here yet stay: they are
// not reported again.
func (d *Decider) forget(now time.Duration) {
	open := d.table.Open()
	for service := range d.judgements {
		if !slices.Contains(open, service) {
			delete(d.judgements, service)
		}
	}
	for node, report := range d.reports {
		if now-report.at > longGone {
			delete(d.reports, node)
			continue
		}
		for subject := range report.rows {
			if known := d.table.Of(subject.Service); known != nil && subject.Order < known.Order.Revision {
				delete(report.rows, subject)
			}
		}
	}
}

func (d *Decider) judgementOf(now time.Duration, service string, known *Rollout) *judgement {
	judged, found := d.judgements[service]
	if !found || judged.order != known.Order.Revision {
		judged = &judgement{order: known.Order.Revision, since: now, stale: make(map[countedAt]Counts)}
		d.judgements[service] = judged
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
			known := d.table.Of(subject.Service)
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
