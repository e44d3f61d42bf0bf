package relay

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
)

// Caller makes calls to other nodes; *peer.Client is one.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, request, response any) error
}

// Relay hands requests to executors. It is safe for concurrent use.
type Relay struct {
	config  Config
	self    roster.Member
	caller  Caller
	clock   clock.Clock
	logger  *slog.Logger
	metrics *metrics

	mutex sync.Mutex
	board board
	terms Terms // of a request now
}

// metrics are those of a Relay.
type metrics struct {
	requests *prometheus.CounterVec
	up       prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_relay_requests_total",
			Help: "Requests handed to executors, by result: answered, refused, not_sent, lost, left.",
		}, []string{"result"}),
		up: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_relay_executors", Help: "Executors that would take a request of this node, by their last word."}),
	}
	registerer.MustRegister(created.requests, created.up)
	return created
}

// New returns a Relay that knows no executor yet.
func New(config Config, self roster.Member, caller Caller, time clock.Clock, registerer prometheus.Registerer, logger *slog.Logger) *Relay {
	return &Relay{
		config: config, self: self, caller: caller, clock: time, logger: logger,
		metrics: newMetrics(registerer), board: board{config: config},
	}
}

// SetRoles takes in who runs the requests of whom, and the terms of requests now.
func (r *Relay) SetRoles(roles Roles, terms Terms) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.terms = terms
	executors := roles.Executors
	if roles.Self != RoleRelay {
		executors = nil
	}
	r.board.set(r.clock.Now(), r.self, executors)
	r.metrics.up.Set(float64(r.usable()))
}

// SetTerms takes in the terms of requests now.
func (r *Relay) SetTerms(terms Terms) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.terms = terms
	r.metrics.up.Set(float64(r.usable()))
}

// InUse reports whether this node hands requests to executors at all.
func (r *Relay) InUse() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.board.targets) > 0
}

// Run keeps in touch with the executors until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	ticker := time.NewTicker(r.config.HeartbeatInterval)
	defer ticker.Stop()
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, one := range r.due() {
			asking.Go(func() { r.ask(ctx, one) })
		}
	}
}

// due returns the executors to be asked, and takes those to be lost that were
// silent.
func (r *Relay) due() []*target {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	up := r.up()
	r.board.expire(r.clock.Now())
	if now := r.up(); now < up {
		event.Log(r.logger, event.ExecutorsLost{Lost: up - now, Left: now})
	}
	r.board.watch(r.clock.Now())
	r.metrics.up.Set(float64(r.usable()))
	return append([]*target(nil), r.board.targets...)
}

// up counts the executors in touch.
func (r *Relay) up() int {
	count := 0
	for _, one := range r.board.targets {
		if one.Alive() != nil {
			count++
		}
	}
	return count
}

// usable counts the executors that would take a request.
func (r *Relay) usable() int {
	count := 0
	for _, one := range r.board.targets {
		if one.usable(r.terms) {
			count++
		}
	}
	return count
}

// ask asks one executor for its status.
func (r *Relay) ask(ctx context.Context, of *target) {
	ctx, cancel := context.WithTimeout(ctx, r.config.HeartbeatTimeout)
	defer cancel()
	var status Status
	started := r.clock.Now()
	err := r.caller.Call(ctx, of.Peer, methodStatus, &statusRequest{From: r.self.Name}, &status)
	if err != nil {
		return // its silence is noticed by expire
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	regained := r.board.heard(now, now-started, of, status)
	r.metrics.up.Set(float64(r.usable()))
	if regained {
		event.Log(r.logger, event.ExecutorInTouch{Peer: of.Name, Version: status.Version, Accepting: status.Accepting, Fresh: status.Fresh})
	}
}

// handling is the time that reading a whole answer and writing it again takes
// beyond what a question takes.
const handling = 1500 * time.Microsecond

// maxTries is how many executors a request is offered to.
const maxTries = 2

// Execute hands a request to an executor that can keep its terms, and blocks
// until its answer or the end of ctx. It returns false if the request has run
// nowhere and this node should run it itself.
func (r *Relay) Execute(ctx context.Context, terms Terms, request *forward.Request) (forward.Answer, bool) {
	var tried []*target
	for range maxTries {
		chosen, alive, away := r.take(terms, tried)
		if chosen == nil {
			return forward.Answer{}, false
		}
		tried = append(tried, chosen)
		handed := *request
		if handed.ClientTimeout > 0 {
			handed.ClientTimeout = request.Remaining(r.clock.Now())
		}
		handed.RelayTime = away
		answer, done := r.offer(ctx, chosen, alive, terms, &handed)
		if done {
			return answer, true
		}
	}
	return forward.Answer{}, false
}

// take chooses an executor. It returns with it the context that ends when it is
// lost, and the time that the way to it and back takes.
func (r *Relay) take(terms Terms, tried []*target) (chosen *target, alive context.Context, away time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.board.expire(r.clock.Now())
	chosen = r.board.pick(terms, tried)
	if chosen == nil {
		return nil, nil, 0
	}
	chosen.inFlight++
	return chosen, chosen.Alive(), chosen.RoundTrip + handling
}

// offer hands a request to one executor. It returns false if the request did
// not run there and never will.
func (r *Relay) offer(ctx context.Context, to *target, alive context.Context, terms Terms, request *forward.Request) (forward.Answer, bool) {
	calling, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(alive, func() { cancel(errSilent) })
	defer stop()
	started := r.clock.Now()
	var response executeResponse
	err := r.caller.Call(calling, to.Peer, methodExecute, &executeRequest{
		From: r.self.Name, Terms: terms, ID: request.ID, Method: request.Method, Host: request.Host,
		Path: request.Path, Head: request.Head, Body: request.Body, Patience: request.ClientTimeout, Away: request.RelayTime,
	}, &response)
	r.release(to, r.clock.Now()-started, err, &response)
	switch {
	case peer.NotExecuted(err):
		r.metrics.requests.WithLabelValues("not_sent").Inc()
		return forward.Answer{}, false
	case err != nil && ctx.Err() != nil:
		r.metrics.requests.WithLabelValues("left").Inc()
		return forward.Answer{Fate: forward.FateLate, Version: terms.Version, Executor: to.Name}, true
	case err != nil:
		r.metrics.requests.WithLabelValues("lost").Inc()
		event.Log(r.logger, event.RequestLost{RequestID: request.ID, Executor: to.Name, Error: err})
		return forward.Answer{Fate: forward.FateFailed, Version: terms.Version, Executor: to.Name}, true
	case response.Refusal != "":
		r.metrics.requests.WithLabelValues("refused").Inc()
		return forward.Answer{}, false
	}
	r.metrics.requests.WithLabelValues("answered").Inc()
	return response.answer(to.Name, terms.Version), true
}

// errSilent is why a call to an executor is given up that is not heard any more.
var errSilent = errors.New("executor is silent")

// release books the end of an offer.
func (r *Relay) release(to *target, took time.Duration, err error, response *executeResponse) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	to.inFlight--
	switch {
	case errors.Is(err, peer.ErrLost), peer.NotExecuted(err):
		to.Lose() // its process has ended, most likely; it is asked again at the next beat
	case err == nil && response.Refusal != "":
		to.status = response.Status
	case err == nil:
		to.ended(took)
	}
}
