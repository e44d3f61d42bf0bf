package node

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"

	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/intake"
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
	"github.com/micaplank/micaplank/internal/telemetry"
)

// queryLogLimits limits the lines about single requests, in lines per second.
var queryLogLimits = telemetry.RateLimits{Info: 10, Warn: 10}

// listenPeer opens the peer server and the datagram socket, and creates the client for calls to
// other nodes.
func (n *Node) listenPeer() (err error) {
	n.peerServer, n.datagrams, err = peer.ListenPair(n.settings.Listen.Peer, n.registry)
	if err != nil {
		return err
	}
	n.peerClient = peer.NewClient(peer.ClientOptions{}, n.registry)
	return nil
}

// listenHTTP opens the listener of the HTTP interface.
func (n *Node) listenHTTP() (err error) {
	n.httpListener, err = net.Listen("tcp", n.settings.Listen.HTTP.String())
	if err != nil {
		return oops.With("step", "listen", "peer", n.settings.Listen.HTTP.String()).Wrap(err)
	}
	return nil
}

// createStoreClient creates the client of the external store.
func (n *Node) createStoreClient() (err error) {
	n.store, err = store.NewClient(newStoreConfig(n.settings.Store), n.registry)
	return err
}

// buildControlPlane creates the parts that maintain the catalog and the member list.
func (n *Node) buildControlPlane() {
	n.buildMembership()
	n.buildDissemination()
	if n.settings.Machines.Address.IsValid() {
		n.machinePoller = machines.NewPoller(newMachinesConfig(n.settings.Machines), n.newRandom(), n.registry)
	}
}

func (n *Node) buildMembership() {
	n.membership = membership.NewService(membership.Options{
		Config: newMembershipConfig(n.settings.Membership),
		Self: membership.Member{
			Name:        n.settings.Name,
			Zone:        n.settings.Zone,
			Region:      n.settings.Region,
			Address:     n.PeerAddress(),
			HTTPAddress: n.HTTPAddress(),
			Incarnation: n.incarnation,
		},
		Seeds:      n.settings.Peers.Seeds,
		Datagrams:  datagramSender{n.datagrams, peer.KindMembership},
		Logger:     n.logger,
		Registerer: n.registry,
	})
}

func (n *Node) buildDissemination() {
	n.dissemination = dissemination.NewService(dissemination.ServiceOptions{
		Config: newDisseminationConfig(n.settings.Freshness),
		Self: dissemination.Member{
			Name:        n.settings.Name,
			Zone:        n.settings.Zone,
			Address:     n.PeerAddress(),
			Incarnation: n.incarnation,
			Alive:       true,
		},
		Members:    n.listDisseminationMembers,
		Store:      dissemination.NewStoreAdapter(n.store),
		Transport:  dissemination.NewPeerTransport(n.datagrams, n.peerClient),
		Clock:      n.clock,
		Logger:     n.logger,
		Registerer: n.registry,
	})
}

// buildQueryPath creates the parts that run queries, from the leaf client up to the HTTP interface.
func (n *Node) buildQueryPath() {
	n.buildLeaves()
	n.buildQueries()
	n.buildGateway()
	n.registry.MustRegister(newCollector(n))
}

// buildLeaves creates the leaf client, the scatter connections that use it and the health check.
func (n *Node) buildLeaves() {
	clientConfig := newLeafConfig(n.settings.Leaf)
	// Scatter checks before it hands an attempt over. The client checks again directly before it
	// writes the first byte, because the process may have been suspended in between.
	clientConfig.Guard = n.checkSend
	n.leafClient = leaf.New(clientConfig, n.registry)
	dispatchConfig := dispatch.DefaultConfig()
	dispatchConfig.Zone = n.settings.Zone
	n.services = newServiceConns(dispatchConfig, scatter.Config[string, rows.Table]{
		AttemptPrefix: fmt.Sprintf("%s/%d", n.settings.Name, n.incarnation),
		Leaves:        scatter.Statements{Executor: n.leafClient},
		Clock:         n.clock,
		Guard:         n.admit,
		OnDraining:    n.handleLeafDraining,
		Metrics:       scatter.NewMetrics(n.registry),
	}, n.incarnation)
	n.healthCheck = topology.NewHealthCheck(topology.HealthCheckConfig{
		Table:    topology.DefaultConfig(),
		Client:   n.leafClient,
		Sink:     healthSink{n.services, n},
		Clock:    n.clock,
		Logger:   n.logger,
		Interval: n.settings.Leaf.LoadInterval.Duration(),
		Timeout:  loadPollTimeout,
	})
}

func (n *Node) buildQueries() {
	n.ledger = query.NewLedger(newOnceConfig(n.settings), n.clock, n.isOwnershipProved)
	n.queryRunner = query.New(query.Config{
		NodeName:         n.settings.Name,
		Catalogs:         catalogSource{n},
		Scatterers:       n.services,
		Forwarder:        forwarder{n},
		Ledger:           n.ledger,
		HasVoterMajority: n.isAcknowledgedByMajority,
		Clock:            n.clock,
		Metrics:          query.NewMetrics(n.registry),
		Logger:           slog.New(telemetry.NewRateLimitHandler(n.logger.Handler(), queryLogLimits, n.registry)),
		StaleRetryAfter:  n.settings.Freshness.ExchangeInterval.Duration(),
	})
}

func (n *Node) buildGateway() {
	n.gateway = gateway.New(gateway.Config{
		Queries:      newQueryLimiter(n.queryRunner, n.draining, n.settings.Limits.Concurrency),
		Operations:   &operations{n},
		Metrics:      n.registry.Handler(),
		Logger:       n.logger,
		MaxBodyBytes: n.settings.Limits.BodyBytes,
		CheckReady:   n.checkReady,
	})
	n.httpServer = &http.Server{Handler: n.gateway, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeadBytes}
	intake.Serve(n.httpServer)
	n.clientGuard = n.newClientGuard()
}

// maxHeadBytes bounds the head of a request. A statement is in the body.
const maxHeadBytes = 64 << 10

// newClientGuard returns the bounds on callers that this machine bears.
func (n *Node) newClientGuard() *intake.Guard {
	connections, bytes := intake.Limits(n.settings.Process.MemoryBytes, n.settings.Process.MaxDescriptors)
	closed := telemetry.NewFactory(n.registry).CounterVec("micaplank_clients_closed_total",
		"Connections of callers that were closed before a whole request had arrived, by the bound that was reached: connections or bytes.", "bound")
	return intake.NewGuard(intake.Config{
		Connections: connections, Bytes: bytes,
		LargestRequest: func() int64 { return intake.RequestCost(maxHeadBytes, n.settings.Limits.BodyBytes) },
		OnClose:        func(bound intake.Bound) { closed.WithLabelValues(string(bound)).Inc() },
	})
}

// newRandom returns a random generator seeded with the incarnation and the peer port.
func (n *Node) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(n.incarnation, uint64(n.PeerAddress().Port())))
}
