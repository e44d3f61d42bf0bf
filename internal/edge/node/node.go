// Package node wires a node that forwards opaque requests by a declared
// configuration: it follows the configuration and the leaves in a store, runs
// requests through one Dispatcher, and serves callers, questions for readiness
// and metrics.
//
// It knows no names of a platform. Those come in through Ports.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/startup"
	"github.com/micaplank/micaplank/internal/decide/warmup"
	"github.com/micaplank/micaplank/internal/edge/combine"
	"github.com/micaplank/micaplank/internal/edge/delegate"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/settings"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// Node is one node. Make it with New and start it with Run.
type Node struct {
	settings settings.Settings
	ports    Ports
	logger   *slog.Logger
	clock    *clock.Monotonic
	metrics  *metrics
	registry *telemetry.Registry
	member   roster.Member

	peers     *peer.Client
	shared    *mirror.Shared
	delegate  *delegate.Client
	combine   *combine.Client
	conn      *scatter.Conn[*forward.Request, forward.Part]
	forwarder *forward.Forwarder
	draining  atomic.Bool
	// outOfService lists the zones that get no new attempts; nil before the first
	// is published.
	outOfService atomic.Pointer[[]string]

	mutex      sync.Mutex
	index      *registry.Index
	leaves     *registry.Table
	coldBounds map[string]warmup.Bound // by service, as the configuration in force says
	shards     map[string]bool         // services that are shards of some route, as it says
	expiry     *time.Timer
	// leavesKnown is set once the Dispatcher has the leaves of a first reading.
	leavesKnown bool
	// firstRead is closed once the store, or a copy of it, was read. Then former is
	// the lease of an announcement of this node by a former process; zero without
	// one.
	firstRead chan struct{}
	former    uint64
	nodes     *roster.Roster
	load      executors.Load
	roles     executors.Assigner
	rollouts  *rollouts
	gate      *quarantined
}

// New returns a Node that has not started anything.
func New(configured settings.Settings, ports Ports, registry *telemetry.Registry, logger *slog.Logger) *Node {
	f := &Node{
		settings:  configured,
		ports:     ports,
		logger:    logger,
		clock:     clock.NewMonotonic(),
		metrics:   newMetrics(registry),
		registry:  registry,
		firstRead: make(chan struct{}),
	}
	f.member = f.self()
	f.build(registry)
	return f
}

func (f *Node) build(registerer prometheus.Registerer) {
	f.index = registry.NewIndex()
	f.leaves = registry.NewTable(registry.Config{
		Doubt:    f.settings.Forward.LeafDoubt.Duration(),
		Settling: f.settings.Forward.LeafSettling.Duration(),
	}, f.index)
	f.peers = peer.NewClient(peer.ClientOptions{DialTimeout: peerDialTimeout}, registerer)
	f.combine = combine.New(combine.DefaultConfig(), f.member, f.ports.Leaves, f.peers, f.clock, registerer, f.logger)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f.conn = scatter.NewConn(scatter.Config[*forward.Request, forward.Part]{
		AttemptPrefix: f.settings.Name,
		Leaves:        f.combine,
		Clock:         f.clock,
		Guard:         func() error { return nil },
		Metrics:       scatter.NewMetrics(registerer),
		Linger:        f.settings.Forward.Linger.Duration(),
		Trace:         true,
	}, dispatch.New(dispatchConfig(f.settings), random))
	f.gate = newQuarantined(f, registerer)
	f.forwarder = forward.New(forwardConfig(f.settings.Forward, f.clock), f.conn, f.gate, f.index)
	f.nodes = roster.New(nodesMemory, f.settings.Forward.ExtraNodes)
	f.shared = mirror.NewShared(mirror.DefaultSharedConfig(), f.ports.Store, watchPeers{client: f.peers, self: f.member.Name}, f.clock, f.logger)
	f.roles = executors.Assigner{EqualNodes: f.settings.Forward.EqualNodes}
	f.delegate = delegate.New(executors.DefaultConfig(), f.member, f.peers, f.clock, registerer, f.logger)
	f.rollouts = newRollouts(f, registerer)
	registerer.MustRegister(newCollector(f))
	f.expiry = time.AfterFunc(time.Hour, f.publish)
	f.expiry.Stop()
}

// Execute implements Service.
func (f *Node) Execute(ctx context.Context, request *forward.Request) forward.Answer {
	started := f.clock.Now()
	answer := f.execute(ctx, request)
	f.metrics.observe(answer, f.clock.Now()-started)
	f.logAnswer(request, answer, f.clock.Now()-started, f.settings.Name)
	return answer
}

// execute hands a request of many shards to an executor, or runs it here.
func (f *Node) execute(ctx context.Context, request *forward.Request) forward.Answer {
	if timeout, spread := f.forwarder.Spread(request); spread && f.delegate.InUse() {
		if answer, done := f.delegated(ctx, timeout, request); done {
			return answer
		}
	}
	started := f.clock.Now()
	answer := f.forwarder.Execute(ctx, request)
	f.ran(answer, f.clock.Now()-started)
	return answer
}

// delegated hands a request to an executor. It returns false if none takes it.
func (f *Node) delegated(ctx context.Context, timeout time.Duration, request *forward.Request) (forward.Answer, bool) {
	delegating, cancel := context.WithTimeout(ctx, timeout+executors.Grace)
	defer cancel()
	return f.delegate.Execute(delegating, f.terms(), request)
}

// Now implements Service.
func (f *Node) Now() time.Duration { return f.clock.Now() }

// Limits implements Service.
func (f *Node) Limits() route.Limits {
	table := f.forwarder.Table()
	if table == nil {
		return route.Limits{}
	}
	return table.Config.Limits
}

// Draining implements Service.
func (f *Node) Draining() bool { return f.draining.Load() }

// ready reports whether the node takes work.
func (f *Node) ready() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return startup.State{
		Configured: f.forwarder.Table() != nil, LeavesKnown: f.leavesKnown, Draining: f.draining.Load(),
	}.Ready()
}
