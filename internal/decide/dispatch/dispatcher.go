package dispatch

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/replica"
	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/decide/snapshot"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Dispatcher is the state machine of one service on one node. Its methods
// never block; the times handed to them should not decrease, and an earlier
// one counts as the latest one seen. The actions returned belong to the
// caller.
type Dispatcher struct {
	config  Config
	chooser replica.Chooser
	now     Time

	topology   Topology
	leaves     []*leafState // those of the topology, in its order
	byAddress  map[netip.AddrPort]*leafState
	views      []view          // newest first
	snapshots  []snapshot.View // of the views
	topologies uint64          // number of topologies so far
	goneUntil  Time            // when the next override of a holding ends; zero if none
	restarted  []*leafState    // those that the topology being taken in lists anew

	byID       map[QueryID]*query
	running    []*query // all unfinished queries, started or not
	pending    []*query // those that wait for the concurrency limit, in order
	started    int
	startsHeld bool // startPending must not start any now
	attempts   attemptTable
	timers     timerHeap

	classes  map[string]*classState
	ranked   []*classState // in the order in which their work goes
	meanWork float64       // mean base of the attempts, in seconds
	budget   hedge.Budget
	budgets  map[int]*hedge.Budget // by shard, if Config.BudgetByShard
	// budgetBounds returns the bounds of each; nil for those of the Config.
	budgetBounds func(shard int) hedge.Bounds
	// allowances are those of the shards with canaries; nil without any.
	allowances map[int]*rollout.Allowance

	saturation         saturation
	urgent, throughput meter   // work that arrived with the highest priority, and that was sent
	duration           float64 // mean time that queries run, in seconds
	waiters            int
	parked             []waiter
	order              uint64
	pumpRound          uint64
	reviewAt           Time

	counters    Counters
	actions     []Action
	spareShards [][]shardState
	// Scratch space of choose and of predictWait.
	candidates      []replica.Candidate
	candidateLeaves []*leafState
	loads           []leafLoad
}

// New returns a Dispatcher without a topology: it answers every query with
// OutcomeNotRun until SetTopology is called. It keeps random.
func New(config Config, random *rand.Rand) *Dispatcher {
	config.Budget.Chance = random.Float64
	return &Dispatcher{
		config:    config,
		chooser:   replica.NewChooser(config.Policy, config.Score, random),
		byAddress: make(map[netip.AddrPort]*leafState),
		byID:      make(map[QueryID]*query),
		classes:   make(map[string]*classState),
		meanWork:  config.InitialLatency.Seconds(),
		budget:    hedge.NewBudget(config.Budget),
		budgets:   make(map[int]*hedge.Budget),
	}
}

// begin starts a call.
func (d *Dispatcher) begin(now Time) {
	d.now = max(d.now, now)
	d.actions = nil
}

// Submit takes a query. Its id must not be in use; a query whose id is in use
// is ignored.
func (d *Dispatcher) Submit(now Time, request Query) []Action {
	d.begin(now)
	if _, known := d.byID[request.ID]; known {
		return nil
	}
	d.counters.Submitted++
	q := &query{
		Query: request,
		class: d.classOf(request.Class),
		schedule: schedule{
			submitted: d.now,
			settleAt:  d.config.Settle.SettleAt(d.now, request.Deadline, request.Objective),
			promoteAt: d.now + time.Duration(d.config.Promotion*float64(request.Deadline-d.now)),
		},
		timer: timer{index: -1},
	}
	if d.mayHedge(q) {
		q.hedging.rescueAt = d.now + time.Duration(d.config.Hedge.Rescue*float64(request.Deadline-d.now))
	}
	if reason := d.rejectReason(q); reason != ReasonNone {
		d.reject(q, reason)
		return d.actions
	}
	q.index = len(d.running)
	d.running = append(d.running, q)
	d.byID[q.ID] = q
	if d.topology.Concurrency > 0 && d.started >= d.topology.Concurrency {
		d.postpone(q)
		d.admitPending(q)
		return d.actions
	}
	d.start(q)
	return d.actions
}

// Cancel ends a query whose caller went away, and aborts its attempts.
func (d *Dispatcher) Cancel(now Time, id QueryID) []Action {
	d.begin(now)
	if q, known := d.byID[id]; known {
		d.finish(q, q.failure(), ReasonCancelled)
	}
	return d.actions
}

// Observe takes in a load report that did not come with a reply. It may lag
// or mislead, except that a leaf which says it drains gets no more work.
func (d *Dispatcher) Observe(now Time, address netip.AddrPort, load leaf.LoadSummary) []Action {
	d.begin(now)
	if l, known := d.byAddress[address]; known {
		d.observe(l, l.boot(), load, len(l.running))
		d.pump(l)
	}
	return d.actions
}

// Tick performs what is due; see NextTick.
func (d *Dispatcher) Tick(now Time) []Action {
	d.begin(now)
	if d.goneUntil > 0 && d.now >= d.goneUntil {
		d.rebuild()
	}
	for len(d.timers) > 0 && d.timers[0].timer.at <= d.now {
		q := d.timers[0]
		if q.hedgeDue(d.now) {
			d.hedge(q)
		}
		d.review(q)
	}
	if d.busy() && d.now >= d.reviewAt {
		d.pumpAll()
	}
	return d.actions
}

// NextTick returns when Tick has to be called next, and false if no time is
// known. It changes with each call of the other methods.
func (d *Dispatcher) NextTick() (Time, bool) {
	next, known := Time(0), false
	consider := func(at Time) {
		if !known || at < next {
			next, known = at, true
		}
	}
	if len(d.timers) > 0 {
		consider(d.timers[0].timer.at)
	}
	if d.busy() {
		consider(d.reviewAt)
	}
	if d.goneUntil > 0 {
		consider(d.goneUntil)
	}
	return next, known
}

// busy reports whether shards wait in the node.
func (d *Dispatcher) busy() bool {
	return d.waiters > 0 || len(d.parked) > 0
}

// SetProbeInterval changes the time between two probes of a slow leaf by this node.
func (d *Dispatcher) SetProbeInterval(interval time.Duration) {
	d.config.Probation.ProbeInterval = interval
}
