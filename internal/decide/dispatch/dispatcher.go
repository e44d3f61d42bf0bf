package dispatch

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/replica"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Dispatcher is the state machine of one service on one node. Its methods never block. The times
// passed to them should not decrease; an earlier time counts as the latest time seen. The returned
// actions belong to the caller.
type Dispatcher struct {
	config  Config
	chooser replica.Chooser
	now     Time

	fleet    fleet
	queries  queryTable
	attempts attemptTable
	timers   timerHeap
	waiting  waitingShards

	classes    classTable
	means      runningMeans
	load       loadEstimate
	budgets    budgets
	allowances allowances
	stopAt     Time // end of the process, see stop.go; zero if it is not known

	counters  Counters
	actions   []Action // of the current call
	shardPool shardPool
	scratch   scratch
}

// scratch holds buffers that choose and predictWait reuse.
type scratch struct {
	candidates []replica.Candidate
	leaves     []*leafState // of the candidates
	loads      []leafLoad
}

// New returns a Dispatcher without a topology. It answers every query with OutcomeNotRun until
// SetTopology is called. The Dispatcher keeps random.
func New(config Config, random *rand.Rand) *Dispatcher {
	config.Budget.Random = random.Float64
	return &Dispatcher{
		config:  config,
		chooser: replica.NewChooser(config.Score, random),
		fleet:   fleet{byAddress: make(map[netip.AddrPort]*leafState)},
		queries: queryTable{byID: make(map[QueryID]*query)},
		classes: newClassTable(config.InitialLatency),
		means:   runningMeans{attemptWork: config.InitialLatency.Seconds()},
		budgets: newBudgets(config.Budget, config.BudgetByShard),
	}
}

// begin prepares the state for a call at the given time.
func (d *Dispatcher) begin(now Time) {
	d.now = max(d.now, now)
	d.actions = nil
}

// Submit accepts or refuses a query. A query whose ID is in use is ignored.
func (d *Dispatcher) Submit(now Time, request Query) []Action {
	d.begin(now)
	if _, ok := d.queries.byID[request.ID]; ok {
		return nil
	}
	d.counters.Submitted++
	q := d.newQuery(request)
	if reason := d.rejectReason(q); reason != ReasonNone {
		d.reject(q, reason)
		return d.actions
	}
	q.index = len(d.queries.running)
	d.queries.running = append(d.queries.running, q)
	d.queries.byID[q.ID] = q
	if d.fleet.topology.Concurrency > 0 && d.queries.started >= d.fleet.topology.Concurrency {
		d.postpone(q)
		d.admitPending(q)
		return d.actions
	}
	d.start(q)
	return d.actions
}

// newQuery returns the state of a query that is submitted now.
func (d *Dispatcher) newQuery(request Query) *query {
	q := &query{Query: request, class: d.classes.get(request.Class), timer: timer{index: -1}}
	d.boundByStop(q)
	remaining := float64(q.Deadline - d.now)
	q.schedule = schedule{
		submitted: d.now,
		settleAt:  d.config.Settle.SettleAt(d.now, q.Deadline, q.Objective),
		promoteAt: d.now + time.Duration(d.config.PromoteAfter*remaining),
	}
	if d.mayHedge(q) {
		q.hedging.chargeAsRetryAt = d.now + time.Duration(d.config.Hedge.ChargeAsRetryAfter*remaining)
	}
	return q
}

// Cancel ends a query whose caller no longer waits, and aborts its attempts.
func (d *Dispatcher) Cancel(now Time, id QueryID) []Action {
	d.begin(now)
	if q, ok := d.queries.byID[id]; ok {
		d.finish(q, q.failureOutcome(), ReasonCancelled)
	}
	return d.actions
}

// Observe records a load report that did not arrive with a reply. The report may be outdated or
// wrong, except that a leaf which reports that it drains gets no more work.
func (d *Dispatcher) Observe(now Time, address netip.AddrPort, load leaf.LoadSummary) []Action {
	d.begin(now)
	if l, ok := d.fleet.byAddress[address]; ok {
		d.applyLoadReport(l, l.currentBoot(), load, len(l.running))
		d.dispatchTo(l)
	}
	return d.actions
}

// Tick performs the actions that are due; see NextTick.
func (d *Dispatcher) Tick(now Time) []Action {
	d.begin(now)
	if d.fleet.missingUntil > 0 && d.now >= d.fleet.missingUntil {
		d.rebuildViews()
	}
	for len(d.timers) > 0 && d.timers[0].timer.at <= d.now {
		q := d.timers[0]
		if q.hedgeDue(d.now) {
			d.sendHedges(q)
		}
		d.advance(q)
	}
	if d.waiting.hasWaiting() && d.now >= d.waiting.rescanAt {
		d.dispatchAllWaiting()
	}
	return d.actions
}

// NextTick returns the time at which Tick has to be called next, and false if no call is due. Any
// other method may change the result.
func (d *Dispatcher) NextTick() (Time, bool) {
	next, scheduled := Time(0), false
	consider := func(at Time) {
		if !scheduled || at < next {
			next, scheduled = at, true
		}
	}
	if len(d.timers) > 0 {
		consider(d.timers[0].timer.at)
	}
	if d.waiting.hasWaiting() {
		consider(d.waiting.rescanAt)
	}
	if d.fleet.missingUntil > 0 {
		consider(d.fleet.missingUntil)
	}
	return next, scheduled
}

// SetProbeInterval changes the interval between two probes of a slow leaf by this node.
func (d *Dispatcher) SetProbeInterval(interval time.Duration) {
	d.config.Probation.ProbeInterval = interval
}
