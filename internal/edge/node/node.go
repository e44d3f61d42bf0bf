// Package node assembles a node that forwards opaque requests by a declared configuration. It
// follows the configuration and the leaves in a store, runs requests through one Dispatcher, and
// serves clients, readiness checks and metrics.
//
// The package owns the node's view of the store, the publication of topologies, the servers and the
// graceful shutdown. The rules by which a node chooses, divides, waits or gives up are in the
// packages under internal/decide. Names of a platform come in through Ports.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/combiners"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/startup"
	"github.com/micaplank/micaplank/internal/edge/combine"
	"github.com/micaplank/micaplank/internal/edge/delegate"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/settings"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// Node is one node. Use New to create it and Run to start it.
type Node struct {
	settings settings.Settings
	ports    Ports
	logger   *slog.Logger
	clock    *clock.Monotonic
	metrics  *metrics
	// metricsRegistry holds the metrics of all parts of the node.
	metricsRegistry *telemetry.Registry
	self            roster.Member
	draining        atomic.Bool
	// ending ends when each request must have its final answer; endRequests ends it.
	ending      context.Context
	endRequests context.CancelFunc

	// These fields run requests.
	conn      *scatter.QueryRunner[*forward.Request, forward.Part]
	forwarder *forward.Forwarder
	runner    *localRunner

	// These fields follow the store.
	mirror    *mirror.Shared
	follower  *follower
	publisher *publisher

	// These fields communicate with other nodes.
	peers      *peer.Client
	delegate   *delegate.Client
	combine    *combine.Client
	rollouts   *rolloutDriver
	quarantine *quarantineDriver
}

// New returns a Node that is not started.
func New(configured settings.Settings, ports Ports, metricsRegistry *telemetry.Registry, logger *slog.Logger) *Node {
	n := &Node{
		settings:        configured,
		ports:           ports,
		logger:          logger,
		clock:           clock.NewMonotonic(),
		metrics:         newMetrics(metricsRegistry),
		metricsRegistry: metricsRegistry,
		self:            newSelfMember(configured),
	}
	n.ending, n.endRequests = context.WithCancel(context.Background())
	view := newView(configured.Forward, n.clock)
	n.connectPeers(metricsRegistry)
	n.buildRequestPath(view, metricsRegistry)
	n.buildStoreFollower(view, metricsRegistry)
	n.runner = n.newRunner()
	metricsRegistry.MustRegister(newCollector(n.conn, n.mirror))
	return n
}

// newSelfMember returns the announcement of a node with these settings.
func newSelfMember(configured settings.Settings) roster.Member {
	return roster.Member{
		Name: configured.Name, Zone: configured.Zone, Peer: configured.Listen.Peer,
		Cores: configured.Process.Cores * configured.Process.CoreShare,
	}
}

// connectPeers creates the clients that call other nodes.
func (n *Node) connectPeers(registerer prometheus.Registerer) {
	n.peers = peer.NewClient(peer.ClientOptions{DialTimeout: peerDialTimeout}, registerer)
	n.combine = combine.New(combiners.DefaultConfig(), n.self, n.ports.Leaves, n.peers, n.clock, registerer, n.logger)
	n.mirror = mirror.NewShared(mirror.DefaultSharedConfig(), n.ports.Store, mirrorPeers{client: n.peers, self: n.self.Name}, n.clock, n.logger)
	n.delegate = delegate.New(executors.DefaultConfig(), n.self, n.peers, n.clock, registerer, n.logger)
}

// buildRequestPath creates the parts that run requests.
func (n *Node) buildRequestPath(view *view, registerer prometheus.Registerer) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.conn = scatter.NewQueryRunner(scatter.Config[*forward.Request, forward.Part]{
		AttemptPrefix:      n.settings.Name,
		Leaves:             n.combine,
		Clock:              n.clock,
		Guard:              func() error { return nil },
		Metrics:            scatter.NewMetrics(registerer),
		Linger:             n.settings.Forward.Linger.Duration(),
		Trace:              true,
		OnConnectionClosed: func(running scatter.QueryProgress[*forward.Request]) { n.quarantine.LeafLost(running) },
	}, dispatch.New(dispatchConfig(n.settings), random))
	n.quarantine = newQuarantineDriver(n.self.Name, n.settings.Forward, n.ports.Quarantine, view, n.clock, n.logger, registerer)
	n.forwarder = forward.New(forwardConfig(n.settings.Forward, n.clock), n.conn, n.quarantine, view.index)
}

// buildStoreFollower creates the parts that follow the store.
func (n *Node) buildStoreFollower(view *view, registerer prometheus.Registerer) {
	terms := &terms{config: n.forwarder}
	n.rollouts = newRolloutDriver(rolloutPorts{
		self: n.self, clock: n.clock, logger: n.logger,
		decoder: n.ports.Decoder, store: n.ports.Rollouts, view: view,
		dispatcher: n.conn, peers: n.peers,
		publish:   func() { n.publisher.publishLocked() },
		mayDecide: func() bool { return n.forwarder.Fresh() && !n.draining.Load() },
	}, n.settings.Forward, registerer)
	n.publisher = (&publisher{
		subscribers: subscribers{
			dispatcher: n.conn, rollouts: n.rollouts, quarantine: n.quarantine,
			delegate: n.delegate, combine: n.combine, mirror: n.mirror, onLeaves: n.ports.OnLeafShares,
		},
		settings: n.settings, self: n.self, view: view, terms: terms, config: n.forwarder, metrics: n.metrics,
	}).start()
	n.follower = &follower{
		decoder: n.ports.Decoder, self: n.self, seeds: n.settings.Peers.Seeds,
		clock: n.clock, logger: n.logger, metrics: n.metrics, view: view,
		announcer: &announcer{
			self: n.self, decoder: n.ports.Decoder, leases: n.ports.Leases, logger: n.logger,
			storeRead: make(chan struct{}), leaseFound: make(chan uint64, 1),
		},
		config: n.forwarder, rollouts: n.rollouts, quarantine: n.quarantine,
		publisher: n.publisher, terms: terms, delegate: n.delegate,
	}
}

// newRunner returns the runner of requests that are executed on this node.
func (n *Node) newRunner() *localRunner {
	return &localRunner{
		clock: n.clock, logger: n.logger, forwarder: n.forwarder,
		workload: &workload{clock: n.clock, cores: n.self.Cores, queries: n.conn},
		rollouts: n.rollouts, terms: n.follower.terms, ready: n.isReady,
	}
}

// Execute implements Service.
func (n *Node) Execute(ctx context.Context, request *forward.Request) forward.Answer {
	started := n.clock.Now()
	answer := n.execute(ctx, request)
	duration := n.clock.Now() - started
	n.metrics.observe(answer, duration)
	logRequest(n.logger, request, answer, duration, n.settings.Name)
	return answer
}

// execute delegates a request to many shards to an executor, or runs it on this node.
func (n *Node) execute(ctx context.Context, request *forward.Request) forward.Answer {
	if timeout, scattered := n.forwarder.FanOut(request); scattered && n.delegate.InUse() {
		if answer, done := n.delegateRequest(ctx, timeout, request); done {
			return answer
		}
	}
	return n.runner.execute(ctx, request)
}

// delegateRequest hands a request to an executor. It returns false if no executor accepts it.
func (n *Node) delegateRequest(ctx context.Context, timeout time.Duration, request *forward.Request) (forward.Answer, bool) {
	delegateCtx, cancel := context.WithTimeout(ctx, timeout+executors.ResponseGrace)
	defer cancel()
	stop := context.AfterFunc(n.ending, cancel)
	defer stop()
	return n.delegate.Execute(delegateCtx, n.follower.terms.current(), request)
}

// Now implements Service.
func (n *Node) Now() time.Duration { return n.clock.Now() }

// Limits implements Service.
func (n *Node) Limits() route.Limits {
	table := n.forwarder.Table()
	if table == nil {
		return route.Limits{}
	}
	return table.Config.Limits
}

// Draining implements Service.
func (n *Node) Draining() bool { return n.draining.Load() }

// Ending implements Service.
func (n *Node) Ending() context.Context { return n.ending }

// isReady reports whether the node accepts requests.
func (n *Node) isReady() bool {
	return startup.State{
		Configured:  n.forwarder.Table() != nil,
		LeavesKnown: n.follower.view.areLeavesLoaded(),
		Draining:    n.draining.Load(),
	}.Ready()
}
