// Package node wires one query node together, starts it, drains it and stops
// it. It holds no decisions of its own.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/selfhosted/dissemination"
	"github.com/micaplank/micaplank/internal/selfhosted/gateway"
	"github.com/micaplank/micaplank/internal/selfhosted/machines"
	"github.com/micaplank/micaplank/internal/selfhosted/membership"
	"github.com/micaplank/micaplank/internal/selfhosted/query"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
	"github.com/micaplank/micaplank/internal/selfhosted/topology"
	"github.com/micaplank/micaplank/internal/settings"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// Reasons for which a node does not take work.
var (
	errNotFresh   = errors.New("the catalog may be out of date")
	errDraining   = errors.New("the node is leaving")
	errSuperseded = errors.New("another process has taken over the slot of this node")
	errMarks      = errors.New("other nodes have not been asked of late which leaves are leaving")
	errLeaves     = errors.New("some leaves have not been asked for their load yet")
)

// Node is one running query node.
type Node struct {
	settings    settings.Settings
	logger      *slog.Logger
	clock       clock.Clock
	registry    *telemetry.Registry
	incarnation uint64

	calls         *peer.Client
	peerServer    *peer.Server
	datagrams     *peer.Datagrams
	store         *store.Client
	leaves        *leaf.Client
	machines      *machines.Poller
	membership    *membership.Service
	dissemination *dissemination.Service
	health        *topology.HealthCheck
	marks         marksClock
	installed     installation
	services      *services
	ledger        *query.Ledger
	queries       *query.Runner
	gateway       *gateway.Gateway
	http          *http.Server
	listener      net.Listener

	drainOnce sync.Once
	// draining is closed when the planned stop begins.
	draining   chan struct{}
	background sync.WaitGroup
	// running ends the background work when it is cancelled.
	running context.Context
	stop    context.CancelFunc
}

// New opens the node's sockets and builds its parts; nothing runs yet. After
// an error nothing stays open.
func New(configured settings.Settings, registry *telemetry.Registry, logger *slog.Logger) (*Node, error) {
	n := &Node{
		settings:    configured,
		logger:      logger,
		clock:       clock.NewMonotonic(),
		registry:    registry,
		incarnation: uint64(time.Now().UnixMilli()),
		draining:    make(chan struct{}),
	}
	n.running, n.stop = context.WithCancel(context.Background())
	steps := []func() error{n.openPeer, n.openHTTP, n.openStore}
	for _, step := range steps {
		if err := step(); err != nil {
			n.closeSockets()
			return nil, err
		}
	}
	n.buildControl()
	n.buildQueryPath()
	n.registerCalls()
	return n, nil
}

func (n *Node) openPeer() (err error) {
	n.peerServer, n.datagrams, err = peer.ListenPair(n.settings.Listen.Peer, n.registry)
	if err != nil {
		return err
	}
	n.calls = peer.NewClient(peer.ClientOptions{}, n.registry)
	return nil
}

func (n *Node) openHTTP() (err error) {
	n.listener, err = net.Listen("tcp", n.settings.Listen.HTTP.String())
	if err != nil {
		return oops.With("step", "listen", "peer", n.settings.Listen.HTTP.String()).Wrap(err)
	}
	return nil
}

func (n *Node) openStore() (err error) {
	n.store, err = store.New(storeConfig(n.settings.Store), n.registry)
	return err
}

// closeSockets closes what New had opened.
func (n *Node) closeSockets() {
	n.stop()
	if n.listener != nil {
		n.listener.Close()
	}
	if n.calls != nil {
		n.calls.Close()
		n.datagrams.Close()
		n.peerServer.Close(n.running)
	}
}

// HTTPAddress is where callers and operators reach the node.
func (n *Node) HTTPAddress() netip.AddrPort {
	return netip.MustParseAddrPort(n.listener.Addr().String())
}

// PeerAddress is where other nodes reach the node, as advertised.
func (n *Node) PeerAddress() netip.AddrPort {
	return netip.AddrPortFrom(n.settings.AdvertisedAddress(), n.peerServer.Address().Port())
}

// buildControl makes the parts that keep the catalog and the members.
func (n *Node) buildControl() {
	n.membership = membership.NewService(membership.Options{
		Config: membershipConfig(n.settings.Membership),
		Self: membership.Member{
			Name:        n.settings.Name,
			Zone:        n.settings.Zone,
			Region:      n.settings.Region,
			Address:     n.PeerAddress(),
			HTTPAddress: n.HTTPAddress(),
			Incarnation: n.incarnation,
		},
		Seeds:      n.settings.Peers.Seeds,
		Datagrams:  datagramsOf{n.datagrams, peer.KindMembership},
		Logger:     n.logger,
		Registerer: n.registry,
	})
	n.dissemination = dissemination.NewService(dissemination.ServiceOptions{
		Config: disseminationConfig(n.settings.Freshness),
		Self: dissemination.Member{
			Name:        n.settings.Name,
			Zone:        n.settings.Zone,
			Address:     n.PeerAddress(),
			Incarnation: n.incarnation,
			Alive:       true,
		},
		Members:    n.disseminationMembers,
		Store:      dissemination.NewStoreAdapter(n.store),
		Transport:  dissemination.NewPeerTransport(n.datagrams, n.calls),
		Clock:      n.clock,
		Logger:     n.logger,
		Registerer: n.registry,
	})
	if n.settings.Machines.Address.IsValid() {
		n.machines = machines.NewPoller(machinesConfig(n.settings.Machines), n.random(), n.registry)
	}
}

func (n *Node) random() *rand.Rand {
	return rand.New(rand.NewPCG(n.incarnation, uint64(n.PeerAddress().Port())))
}

// buildQueryPath makes the parts that run queries.
func (n *Node) buildQueryPath() {
	leaves := leafConfig(n.settings.Leaf)
	// Scatter asks before it hands an attempt over; the client asks again
	// directly before the first byte, since a freeze may lie in between.
	leaves.Guard = n.mayAct
	n.leaves = leaf.New(leaves, n.registry)
	dispatchConfig := dispatch.DefaultConfig()
	dispatchConfig.Zone = n.settings.Zone
	n.services = newServices(dispatchConfig, scatter.Config[string, rows.Table]{
		AttemptPrefix: fmt.Sprintf("%s/%d", n.settings.Name, n.incarnation),
		Leaves:        scatter.Statements{Executor: n.leaves},
		Clock:         n.clock,
		Guard:         n.admit,
		OnDraining:    n.leafDraining,
		Metrics:       scatter.NewMetrics(n.registry),
	}, n.incarnation)
	n.health = topology.NewHealthCheck(topology.HealthCheckConfig{
		Table:    topology.DefaultConfig(),
		Client:   n.leaves,
		Sink:     sink{n.services, n},
		Clock:    n.clock,
		Logger:   n.logger,
		Interval: n.settings.Leaf.LoadInterval.Duration(),
		Timeout:  loadTimeout,
	})
	n.ledger = query.NewLedger(onceConfig(n.settings), n.clock, n.ownershipProved)
	n.queries = query.New(query.Config{
		Self:           n.settings.Name,
		Catalogs:       catalogs{n},
		Scatterers:     n.services,
		Forwarder:      forwarder{n},
		Ledger:         n.ledger,
		Acknowledged:   n.acknowledged,
		Clock:          n.clock,
		Metrics:        query.NewMetrics(n.registry),
		RetryWhenStale: n.settings.Freshness.ExchangeInterval.Duration(),
	})
	n.gateway = gateway.New(gateway.Config{
		Queries:    newIntake(n.queries, n.draining, n.settings.Limits.Concurrency),
		Operations: &operations{n},
		Metrics:    n.registry.Handler(),
		Logger:     n.logger,
		BodyBytes:  n.settings.Limits.BodyBytes,
		Ready:      n.ready,
	})
	n.registry.MustRegister(newCollector(n))
	n.http = &http.Server{Handler: n.gateway, ReadHeaderTimeout: headerTimeout}
}

// catalogs gives the runner of queries what is in force.
type catalogs struct {
	node *Node
}

// Current returns the installed catalog.
func (c catalogs) Current() *catalog.Catalog { return c.node.dissemination.Current() }

// Fresh reports whether the node may take work now.
func (c catalogs) Fresh() bool { return c.node.admit() == nil }

// mayAct says directly before a send whether the node may still send work.
func (n *Node) mayAct() error {
	if n.membership.Superseded() {
		return errSuperseded
	}
	if !n.dissemination.Fresh() {
		return errNotFresh
	}
	if !n.marks.inStep(n.clock.Now()) {
		return errMarks
	}
	return nil
}

// admit says whether work may begin now. It installs the newest catalog first,
// so that what is decided from here on follows it.
func (n *Node) admit() error {
	if err := n.mayAct(); err != nil {
		return err
	}
	n.install()
	return nil
}

// ready says whether the node takes work from callers.
func (n *Node) ready() error {
	select {
	case <-n.draining:
		return errDraining
	default:
	}
	if err := n.mayAct(); err != nil {
		return err
	}
	for _, status := range n.health.Statuses() {
		if status.Status == topology.StatusUnknown {
			return errLeaves
		}
	}
	return nil
}

func (n *Node) leafDraining(address netip.AddrPort, bootID string) {
	n.health.Draining(address, bootID)
}
