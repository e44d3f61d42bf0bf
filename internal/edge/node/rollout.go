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

// rolloutDispatcher sends attempts to leaves of a new version within allowances. It is implemented
// by scatter.QueryRunner.
type rolloutDispatcher interface {
	SetAllowance(shard int, allowance *rollout.Allowance)
	Grant(shard int, until dispatch.Time)
	Burst(shard int)
	InFlightAt(selects func(boot string) bool) int
}

// rolloutPorts are the dependencies of a rolloutDriver.
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
	// publish publishes the view. The caller holds the mutex of the view.
	publish func()
	// mayDecide reports whether this node may decide on rollouts now.
	mayDecide func() bool
}

// rolloutDriver is a node's part in rollouts: it sets the allowances of the Dispatcher, counts
// attempts, reports the counts to the deciding node, and, if it is the decider itself, writes the
// steps. Package rollout has the rules. The mutex of the view guards the fields unless a field says
// otherwise; each method documents whether it locks that mutex.
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
	// allowances holds the allowances of the services with an open order.
	allowances map[string]allowance
	// unsettled is set while a rollout has steps left, or the store has lost one; it is accessed
	// without the mutex.
	unsettled atomic.Bool
	// wake signals the reporting loop that a rollout has become unsettled.
	wake chan struct{}

	// reporting chooses the node to report to.
	reporting *rollout.DeciderSelector
	// reportedTo is the node that received the last report.
	reportedTo string
	// reportFailure is the error of the last report; nil if it succeeded.
	reportFailure error
	// writing holds the services whose next step is being written.
	writing map[string]bool
	// nextTick is the earliest time of the next decision on steps; see rollout.TickPause.
	nextTick time.Duration
	// unwritableUntil is the time until which this node assumes that the store rejects its writes,
	// and does not decide.
	unwritableUntil time.Duration
}

// allowance records the order for which the Dispatcher has an allowance.
type allowance struct {
	generation uint64
	burst      bool
}

func newRolloutDriver(ports rolloutPorts, configured settings.Forward, registerer prometheus.Registerer) *rolloutDriver {
	bounds := rollout.Bounds{Ratio: configured.CanaryRatio, Slack: configured.CanarySlack}
	table := rollout.NewTable()
	incarnation := newIncarnation(ports.self)
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
		reporting:    rollout.NewDeciderSelector(),
		writing:      make(map[string]bool),
	}
}

func newIncarnation(self roster.Member) string { return self.Name + "/" + ulid.Make().String() }

func (r *rolloutDriver) logPhase(state *rollout.Rollout) {
	event.Log(r.logger, event.RolloutChanged{
		Service: state.Record.Service, Target: state.Record.Version, Phase: string(state.Phase()),
		Reason: state.Record.Reason, Age: state.Age(r.clock.Now()).Round(time.Millisecond), Order: state.Order.Number(),
	})
}

// applyTableChange updates everything that depends on the set of open rollouts. The caller holds
// the mutex of the view.
func (r *rolloutDriver) applyTableChange() {
	open := r.table.OpenServices()
	r.metrics.open.Set(float64(len(open)))
	orders := make(map[string]rollout.Order, len(open))
	for _, service := range open {
		orders[service] = r.table.Lookup(service).Order
	}
	r.counter.Retain(orders)
	r.updateUnsettled()
}

// updateUnsettled starts or ends the reports. The caller holds the mutex of the view.
func (r *rolloutDriver) updateUnsettled() {
	unsettled := len(r.table.UnsettledServices()) > 0
	r.unsettled.Store(unsettled)
	if !unsettled {
		r.reporting.Reset()
		return
	}
	select {
	case r.wake <- struct{}{}:
	default: // the loop is already signalled
	}
}

// stages returns the rollouts in the form that the registry takes; nil without rollouts. The caller
// holds the mutex of the view.
func (r *rolloutDriver) stages() map[string]registry.Stage {
	services := r.table.Services()
	if len(services) == 0 {
		return nil
	}
	stages := make(map[string]registry.Stage, len(services))
	for _, service := range services {
		state := r.table.Lookup(service)
		if state.Version() == "" {
			continue
		}
		stage := registry.Stage{
			Version: state.Version(), Phase: state.Phase(), Recorded: state.RecordedAt(),
		}
		if state.Order.Exists() {
			stage.Order = state.Generation
		}
		stages[service] = stage
	}
	return stages
}

// setAllowances sets the Dispatcher's allowances for this node. The participating nodes divide the
// slack among them. The caller holds the mutex of the view.
func (r *rolloutDriver) setAllowances(members []roster.Member) {
	open := r.table.OpenServices()
	for service := range r.allowances {
		if !slices.Contains(open, service) || r.table.Lookup(service).Phase().Shifted() {
			r.dispatcher.SetAllowance(r.view.index.Assign(service), nil)
			delete(r.allowances, service)
		}
	}
	if len(open) == 0 {
		return
	}
	participants := rollout.Participants(members)
	if !rollout.MaySpend(r.self.Name, participants) {
		return
	}
	for _, service := range open {
		state := r.table.Lookup(service)
		if state.Order.Exists() && !state.Phase().Shifted() {
			r.giveAllowance(state, len(participants))
		}
	}
}

// giveAllowance sets the allowance of an order, and starts its burst once it reaches that phase.
func (r *rolloutDriver) giveAllowance(state *rollout.Rollout, participants int) {
	service := state.Order.Service
	issued := r.allowances[service]
	if issued.generation != state.Generation {
		part := rollout.SlackShare(participants, state.FoundAtStart)
		now := r.clock.Now()
		deadline := now - state.Age(now) + state.Order.Duration
		r.dispatcher.SetAllowance(r.view.index.Assign(service), rollout.NewAllowance(r.bounds, part, deadline, rand.Float64))
		issued = allowance{generation: state.Generation}
	}
	if state.Phase() == rollout.PhaseBurst && !issued.burst {
		r.dispatcher.Burst(r.view.index.Assign(service))
		issued.burst = true
	}
	r.allowances[service] = issued
}

// observe counts the attempts of a request whose services are being rolled out. It locks the mutex
// of the view.
func (r *rolloutDriver) observe(answer forward.Answer, duration time.Duration) {
	if !r.unsettled.Load() {
		return
	}
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	for index := range answer.Attempts {
		r.countAttempt(&answer, &answer.Attempts[index], duration)
	}
}

// countAttempt counts one attempt of a request. The caller holds the mutex of the view.
func (r *rolloutDriver) countAttempt(answer *forward.Answer, attempt *scatter.AttemptTrace, duration time.Duration) {
	service := r.view.index.Name(attempt.Shard)
	state := r.table.Lookup(service)
	if state == nil || !state.IsOpen() || !state.Order.Exists() {
		return
	}
	version, zone, exists := r.view.leaves.VersionAndZone(attempt.BootID)
	if !exists {
		return // the leaf was removed while the attempt ran
	}
	subject := rollout.Subject{
		Service: service, Order: state.Order.Number(), Version: state.Order.Version, Route: answer.Route,
		Target: version == state.Order.Version, Zone: zone, Leaf: attempt.BootID,
	}
	switch {
	case attempt.End == scatter.EndOpen && answer.Reason == dispatch.ReasonCancelled:
		return // the client cancelled, which says nothing about the leaf
	case attempt.End == scatter.EndOpen:
		r.counter.CountDuration(subject, duration-attempt.SentAfter)
	case attempt.End == scatter.EndAnswered, attempt.Aborted:
		r.counter.CountDuration(subject, attempt.Duration)
	default:
		r.counter.CountFailure(subject)
	}
	if attempt.Cause == dispatch.CauseNeeded {
		r.counter.CountFirst(subject, overtakenAfter(answer, attempt))
	}
	r.metrics.count(subject, attempt)
}

// overtakenAfter returns how long an attempt had been open when a later attempt at the same shard
// was answered; zero if none was.
func overtakenAfter(answer *forward.Answer, attempt *scatter.AttemptTrace) time.Duration {
	if attempt.End != scatter.EndOpen && !attempt.Aborted {
		return 0
	}
	for index := range answer.Attempts {
		other := &answer.Attempts[index]
		if other.Shard == attempt.Shard && other.SentAfter > attempt.SentAfter && other.End == scatter.EndAnswered {
			return other.SentAfter + other.Duration - attempt.SentAfter
		}
	}
	return 0
}
