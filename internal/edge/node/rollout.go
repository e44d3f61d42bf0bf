package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/settings"
)

// rolloutDispatcher sends attempts to leaves of a new version by allowances; it is a
// scatter.Conn.
type rolloutDispatcher interface {
	SetAllowance(shard int, allowance *rollout.Allowance)
	Grant(shard int, until dispatch.Time)
	Burst(shard int)
	InFlightAt(selects func(boot string) bool) int
}

// rolloutPorts is what a rolloutDriver uses of a node.
type rolloutPorts struct {
	self       roster.Member
	clock      clock.Clock
	logger     *slog.Logger
	decoder    Decoder
	store      Rollouts
	view       *view
	dispatcher rolloutDispatcher
	peers      interface {
		Call(ctx context.Context, to netip.AddrPort, method string, request, response any) error
	}
	// publish publishes the view. It is called with the mutex of the view held.
	publish func()
	// mayDecide reports whether this node is one that may decide on roll-outs.
	mayDecide func() bool
}

// rolloutDriver does what a node does for roll-outs: it gives the Dispatcher its
// allowances, counts attempts, reports them to the node that decides, and, as that one,
// takes the steps. Package rollout decides. The mutex of the view guards the fields,
// unless they say otherwise; the methods say if they lock it.
type rolloutDriver struct {
	rolloutPorts
	enabled bool
	bounds  rollout.Bounds
	// incarnation names this process in reports.
	incarnation string
	metrics     *rolloutMetrics

	table   *rollout.Table
	counter *rollout.Counter
	decider *rollout.Decider
	// allowances are those of the services with an order that is open.
	allowances map[string]allowance
	// open is set while there are roll-outs with steps left; it needs no mutex.
	open atomic.Bool
	// wake wakes the reporter when the first of them comes.
	wake chan struct{}

	// reports chooses the node to report to. That was reportedTo the last time, and
	// reportFailure is how it failed; nil if it did not.
	reporting     *rollout.Reporting
	reportedTo    string
	reportFailure error
	// writing holds the services whose step is being written.
	writing map[string]bool
	// nextTick is when roll-outs are judged again at the earliest: rollout.TickPause.
	nextTick time.Duration
	// unwritableUntil is until when this node counts the store as one that rejects its
	// writes.
	unwritableUntil time.Duration
}

// allowance says for which order the Dispatcher has an Allowance.
type allowance struct {
	order uint64
	burst bool
}

func newRolloutDriver(ports rolloutPorts, configured settings.Forward, registerer prometheus.Registerer) *rolloutDriver {
	bounds := rollout.Bounds{Ratio: configured.CanaryRatio, Slack: configured.CanarySlack}
	table := rollout.NewTable()
	incarnation := ports.self.Name + "/" + ulid.Make().String()
	return &rolloutDriver{
		rolloutPorts: ports,
		enabled:      bounds != rollout.Bounds{} && ports.store != nil,
		bounds:       bounds,
		incarnation:  incarnation,
		metrics:      newRolloutMetrics(registerer),
		table:        table,
		counter:      rollout.NewCounter(),
		decider:      rollout.NewDecider(table, incarnation),
		allowances:   make(map[string]allowance),
		wake:         make(chan struct{}, 1),
		reporting:    rollout.NewReporting(),
		writing:      make(map[string]bool),
	}
}

func (r *rolloutDriver) logPhase(state *rollout.Rollout) {
	event.Log(r.logger, event.RolloutChanged{
		Service: state.Record.Service, Version: state.Record.Version, Phase: string(state.Phase()),
		Reason: state.Record.Reason, Age: state.Age(r.clock.Now()).Round(time.Millisecond), Order: state.Order.Revision,
	})
}

// tableChanged follows a change of the table. The caller holds the mutex of the view.
func (r *rolloutDriver) applyTableChange() {
	open := r.table.Open()
	r.metrics.open.Set(float64(len(open)))
	r.open.Store(len(open) > 0)
	orders := make(map[string]uint64, len(open))
	for _, service := range open {
		orders[service] = r.table.Of(service).Order.Revision
	}
	r.counter.Retain(orders)
	if len(open) == 0 {
		r.reporting.Forget()
		return
	}
	select {
	case r.wake <- struct{}{}:
	default: // it is awake
	}
}

// stages returns the roll-outs as the registry takes them; nil without any. The
// caller holds the mutex of the view.
func (r *rolloutDriver) stages() map[string]registry.Stage {
	services := r.table.Services()
	if len(services) == 0 {
		return nil
	}
	stages := make(map[string]registry.Stage, len(services))
	for _, service := range services {
		state := r.table.Of(service)
		if state.Version() == "" {
			continue
		}
		stages[service] = registry.Stage{
			Order: state.Order.Revision, Version: state.Version(), Phase: state.Phase(), Recorded: state.Record.Revision,
		}
	}
	return stages
}

// setAllowances hands the Dispatcher the allowances of this node: all that take part
// divide the slack. The caller holds the mutex of the view.
func (r *rolloutDriver) setAllowances(members []roster.Member) {
	open := r.table.Open()
	for service := range r.allowances {
		if !slices.Contains(open, service) || r.table.Of(service).Phase().Shifted() {
			r.dispatcher.SetAllowance(r.view.index.Of(service), nil)
			delete(r.allowances, service)
		}
	}
	if len(open) == 0 {
		return
	}
	participants := rollout.Participants(members)
	if !rollout.HasAllowance(r.self.Name, participants) {
		return
	}
	for _, service := range open {
		state := r.table.Of(service)
		if state.Order.Revision != 0 && !state.Phase().Shifted() {
			r.giveAllowance(state, len(participants))
		}
	}
}

// allow gives an order its allowance, and lets it burst in time.
func (r *rolloutDriver) giveAllowance(state *rollout.Rollout, participants int) {
	service, order := state.Order.Service, state.Order.Revision
	issued := r.allowances[service]
	if issued.order != order {
		part := rollout.PartOfSlack(participants, state.Found)
		now := r.clock.Now()
		deadline := now - state.Age(now) + state.Order.Duration
		r.dispatcher.SetAllowance(r.view.index.Of(service), rollout.NewAllowance(r.bounds, part, deadline, rand.Float64))
		issued = allowance{order: order}
	}
	if state.Phase() == rollout.PhaseBurst && !issued.burst {
		r.dispatcher.Burst(r.view.index.Of(service))
		issued.burst = true
	}
	r.allowances[service] = issued
}

// observe counts the attempts of a request, if their services are being rolled
// out. It locks the mutex of the view.
func (r *rolloutDriver) observe(answer forward.Answer, duration time.Duration) {
	if !r.open.Load() {
		return
	}
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	for index := range answer.Attempts {
		r.countAttempt(&answer, &answer.Attempts[index], duration)
	}
}

// count counts one attempt of a request.
func (r *rolloutDriver) countAttempt(answer *forward.Answer, attempt *scatter.AttemptTrace, duration time.Duration) {
	service := r.view.index.Name(attempt.Shard)
	state := r.table.Of(service)
	if state == nil || !state.Open() || state.Order.Revision == 0 {
		return
	}
	version, zone, announced := r.view.leaves.VersionAndZone(attempt.BootID)
	if !announced {
		return // it left while it ran
	}
	subject := rollout.Subject{
		Service: service, Order: state.Order.Revision, Route: answer.Route,
		Target: version == state.Order.Version, Zone: zone, Leaf: attempt.BootID,
	}
	switch {
	case attempt.End == scatter.EndOpen && answer.Reason == dispatch.ReasonCancelled:
		return // its client left: that says nothing of the leaf
	case attempt.End == scatter.EndOpen:
		r.counter.Took(subject, duration-attempt.At)
	case attempt.End == scatter.EndAnswered, attempt.Aborted:
		r.counter.Took(subject, attempt.Took)
	default:
		r.counter.Failed(subject)
	}
	if attempt.Cause == dispatch.CauseNeeded {
		r.counter.First(subject, overtakenAfter(answer, attempt))
	}
	r.metrics.count(subject, attempt)
}

// overtaken returns how long an attempt was open when a later one at its shard was answered;
// zero if none was.
func overtakenAfter(answer *forward.Answer, attempt *scatter.AttemptTrace) time.Duration {
	if attempt.End != scatter.EndOpen && !attempt.Aborted {
		return 0
	}
	for index := range answer.Attempts {
		other := &answer.Attempts[index]
		if other.Shard == attempt.Shard && other.At > attempt.At && other.End == scatter.EndAnswered {
			return other.At + other.Took - attempt.At
		}
	}
	return 0
}
