// Package delegate hands multi-shard requests to executors: nodes that run them for other nodes.
//
// It owns the connections, heartbeats and calls. Package executors decides which nodes are
// executors and which executor gets a request.
//
// A request runs on at most one executor. If an executor provably did not run it, the request is
// offered to another one and finally runs on the node itself. If the executor is lost while it has
// the request, the request may have run and has failed.
package delegate

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// Caller makes calls to other nodes; *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, request, response any) error
}

// Client hands requests to executors. It is safe for concurrent use.
type Client struct {
	config  executors.Config
	self    roster.Member
	caller  Caller
	clock   clock.Clock
	logger  *slog.Logger
	metrics *metrics

	mutex     sync.Mutex
	executors executors.Table
	terms     executors.Terms // the terms that a request gets now
}

// metrics holds the Prometheus metrics of a Client.
type metrics struct {
	requests *prometheus.CounterVec
	usable   prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	create := telemetry.NewFactory(registerer)
	return &metrics{
		requests: create.CounterVec("micaplank_relay_requests_total",
			"Requests handed to executors, by result: answered, refused, not_sent, lost (with the executor), left (no longer awaited).",
			"result"),
		usable: create.Gauge("micaplank_relay_executors",
			"Executors that would accept a request of this node, by their last reported status."),
	}
}

// New returns a Client without executors.
func New(config executors.Config, self roster.Member, caller Caller, clk clock.Clock, registerer prometheus.Registerer, logger *slog.Logger) *Client {
	return &Client{
		config: config, self: self, caller: caller, clock: clk, logger: logger,
		metrics: newMetrics(registerer), executors: executors.NewTable(config, self),
	}
}

// SetRoles sets the executors of this node and the terms of its requests.
func (c *Client) SetRoles(roles executors.Roles, terms executors.Terms) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.terms = terms
	assigned := roles.Executors
	if roles.Self != executors.RoleDelegator {
		assigned = nil
	}
	c.executors.Replace(c.clock.Now(), assigned)
	c.updateUsableGauge()
}

// SetTerms sets the terms of requests.
func (c *Client) SetTerms(terms executors.Terms) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.terms = terms
	c.updateUsableGauge()
}

// updateUsableGauge sets the metric of the executors that would accept a request. The caller holds
// the mutex.
func (c *Client) updateUsableGauge() { c.metrics.usable.Set(float64(c.executors.CountUsable(c.terms))) }

// InUse reports whether this node has executors to hand requests to.
func (c *Client) InUse() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.executors.CountMonitored() > 0
}

// Run sends heartbeats to the executors until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(c.config.HeartbeatInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, executor := range c.dueHeartbeats() {
			group.Go(func() { c.sendHeartbeat(ctx, executor) })
		}
	}
}

// dueHeartbeats returns the executors to send heartbeats to, and marks those as lost that have not
// responded.
func (c *Client) dueHeartbeats() []*executors.Executor {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before := c.executors.CountAlive()
	c.executors.Expire(c.clock.Now())
	if after := c.executors.CountAlive(); after < before {
		event.Log(c.logger, event.ExecutorsLost{Lost: before - after, Left: after})
	}
	c.executors.UpdateMonitored(c.clock.Now())
	c.updateUsableGauge()
	return c.executors.Monitored()
}

// sendHeartbeat asks one executor for its status.
func (c *Client) sendHeartbeat(ctx context.Context, executor *executors.Executor) {
	ctx, cancel := context.WithTimeout(ctx, c.config.HeartbeatTimeout)
	defer cancel()
	var status executors.Status
	started := c.clock.Now()
	err := c.caller.Call(ctx, executor.Peer, methodStatus, &statusRequest{From: c.self.Name}, &status)
	if err != nil {
		return // executors.Table.Expire notices the missing response
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.clock.Now()
	regained := c.executors.RecordAnswer(now, now-started, executor, status)
	c.updateUsableGauge()
	if regained {
		event.Log(c.logger, event.ExecutorInTouch{Peer: executor.Name, Version: status.Version, Accepting: status.Accepting, Fresh: status.Fresh})
	}
}

// Execute hands a request to an executor that can satisfy its terms. It blocks until the answer
// arrives or ctx ends. It returns false if the request has run nowhere and this node should run it
// itself.
func (c *Client) Execute(ctx context.Context, terms executors.Terms, request *forward.Request) (forward.Answer, bool) {
	var tried []*executors.Executor
	for range executors.MaxOffers {
		chosen, alive, relayTime := c.choose(terms, tried)
		if chosen == nil {
			return forward.Answer{}, false
		}
		tried = append(tried, chosen)
		delegated := *request
		if delegated.ClientTimeout > 0 {
			delegated.ClientTimeout = request.Remaining(c.clock.Now())
		}
		delegated.RelayTime = relayTime
		answer, done := c.offer(ctx, chosen, alive, terms, &delegated)
		if done {
			return answer, true
		}
	}
	return forward.Answer{}, false
}

// choose chooses an executor. It also returns the context that ends when the executor is lost, and
// the time that the round trip to it takes.
func (c *Client) choose(terms executors.Terms, tried []*executors.Executor) (chosen *executors.Executor, alive context.Context, relayTime time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.executors.Expire(c.clock.Now())
	chosen = c.executors.Choose(terms, tried)
	if chosen == nil {
		return nil, nil, 0
	}
	chosen.InFlight++
	return chosen, chosen.Alive(), chosen.TransitTime()
}

// offer hands a request to one executor. It returns false if the request did not run there and
// never will.
func (c *Client) offer(ctx context.Context, executor *executors.Executor, alive context.Context, terms executors.Terms, request *forward.Request) (forward.Answer, bool) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(alive, func() { cancel(errHeartbeatTimeout) })
	defer stop()
	started := c.clock.Now()
	var response executeResponse
	err := c.caller.Call(callCtx, executor.Peer, methodExecute, &executeRequest{
		From: c.self.Name, Terms: terms, ID: request.ID, Method: request.Method, Host: request.Host,
		Path: request.Path, Head: request.Head, Body: request.Body, Patience: request.ClientTimeout, Away: request.RelayTime,
	}, &response)
	c.finishOffer(executor, c.clock.Now()-started, err, &response)
	switch {
	case peer.NotExecuted(err):
		c.metrics.requests.WithLabelValues("not_sent").Inc()
		return forward.Answer{}, false
	case err != nil && ctx.Err() != nil:
		c.metrics.requests.WithLabelValues("left").Inc()
		return forward.Answer{Fate: forward.FateLate, Version: terms.Version, Executor: executor.Name}, true
	case err != nil:
		c.metrics.requests.WithLabelValues("lost").Inc()
		event.Log(c.logger, event.RequestLost{RequestID: request.ID, Executor: executor.Name, Error: err})
		return forward.Answer{Fate: forward.FateFailed, Version: terms.Version, Executor: executor.Name}, true
	case response.Refusal != "":
		c.metrics.requests.WithLabelValues("refused").Inc()
		return forward.Answer{}, false
	}
	c.metrics.requests.WithLabelValues("answered").Inc()
	return response.answer(executor.Name, terms.Version), true
}

// errHeartbeatTimeout is the cause of cancelling a call to an executor that does not respond to
// heartbeats.
var errHeartbeatTimeout = errors.New("executor missed its heartbeats")

// finishOffer records the end of an offer.
func (c *Client) finishOffer(executor *executors.Executor, latency time.Duration, err error, response *executeResponse) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	executor.InFlight--
	switch {
	case errors.Is(err, peer.ErrConnectionLost), peer.NotExecuted(err):
		executor.MarkLost() // its process has most likely ended; the next heartbeat checks it again
	case err == nil && response.Refusal != "":
		executor.Status = response.Status
	case err == nil:
		executor.RecordLatency(latency)
	}
}
