// Package node wires one query node of micaplank together, starts it, drains it
// and stops it. It holds no decisions of its own.
//
// It owns the sockets, the background work and the planned stop. It relies on
// membership for the other nodes, on dissemination for the catalog and the proof
// that it is current, on topology for the leaves, on query for callers' requests,
// and on gateway for the HTTP interface; what they need of each other is passed
// here.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/peer"
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

// Node is one running query node.
type Node struct {
	settings    settings.Settings
	logger      *slog.Logger
	clock       clock.Clock
	registry    *telemetry.Registry
	incarnation uint64

	peerClient    *peer.Client
	peerServer    *peer.Server
	datagrams     *peer.Datagrams
	store         *store.Client
	leafClient    *leaf.Client
	machinePoller *machines.Poller
	membership    *membership.Service
	dissemination *dissemination.Service
	healthCheck   *topology.HealthCheck
	markSync      markSyncState
	installState  installState
	services      *serviceConns
	ledger        *query.Ledger
	queryRunner   *query.Runner
	gateway       *gateway.Gateway
	httpServer    *http.Server
	httpListener  net.Listener

	drainOnce sync.Once
	// draining is closed when the planned stop begins.
	draining        chan struct{}
	backgroundTasks sync.WaitGroup
	// running ends the background work when it is cancelled.
	backgroundContext context.Context
	cancelBackground  context.CancelFunc
}

// New opens the node's sockets and builds its parts; nothing runs yet. After
// an error nothing stays open.
func New(config settings.Settings, registry *telemetry.Registry, logger *slog.Logger) (*Node, error) {
	n := &Node{
		settings:    config,
		logger:      logger,
		clock:       clock.NewMonotonic(),
		registry:    registry,
		incarnation: uint64(time.Now().UnixMilli()),
		draining:    make(chan struct{}),
	}
	n.backgroundContext, n.cancelBackground = context.WithCancel(context.Background())
	steps := []func() error{n.listenPeer, n.listenHTTP, n.createStoreClient}
	for _, step := range steps {
		if err := step(); err != nil {
			n.closeSockets()
			return nil, err
		}
	}
	n.buildControlPlane()
	n.buildQueryPath()
	n.registerHandlers()
	return n, nil
}

// closeSockets closes what New had opened.
func (n *Node) closeSockets() {
	n.cancelBackground()
	if n.httpListener != nil {
		n.httpListener.Close()
	}
	if n.peerClient != nil {
		n.peerClient.Close()
		n.datagrams.Close()
		n.peerServer.Close(n.backgroundContext)
	}
}

// HTTPAddress is where callers and operators reach the node.
func (n *Node) HTTPAddress() netip.AddrPort {
	return netip.MustParseAddrPort(n.httpListener.Addr().String())
}

// PeerAddress is where other nodes reach the node, as advertised.
func (n *Node) PeerAddress() netip.AddrPort {
	return netip.AddrPortFrom(n.settings.AdvertisedAddress(), n.peerServer.Address().Port())
}

func (n *Node) handleLeafDraining(address netip.AddrPort, bootID string) {
	n.healthCheck.Draining(address, bootID)
}
