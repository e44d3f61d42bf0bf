// Package node assembles the parts of a micaplank query node, starts and drains the node, and stops
// it.
//
// It owns the sockets, the background tasks and the planned stop. Package membership tracks the
// other nodes, dissemination replicates the catalog and proves that it is current, topology tracks
// the leaves, query runs callers' requests, and gateway serves the HTTP interface. This package
// passes each of them what it needs from the others.
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
	"github.com/micaplank/micaplank/internal/intake"
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

// Node is a query node.
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
	clientGuard   *intake.Guard
	httpListener  net.Listener

	drainOnce sync.Once
	// draining is closed when the planned stop begins.
	draining        chan struct{}
	backgroundTasks sync.WaitGroup
	// backgroundContext is cancelled to end the background tasks.
	backgroundContext context.Context
	cancelBackground  context.CancelFunc
}

// New opens the node's sockets and builds its parts without starting them. It closes all sockets if
// it returns an error.
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

// closeSockets closes what New opened.
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

// HTTPAddress returns the address of the HTTP interface for callers and operators.
func (n *Node) HTTPAddress() netip.AddrPort {
	return netip.MustParseAddrPort(n.httpListener.Addr().String())
}

// PeerAddress returns the advertised address at which other nodes reach this one.
func (n *Node) PeerAddress() netip.AddrPort {
	return netip.AddrPortFrom(n.settings.AdvertisedAddress(), n.peerServer.Address().Port())
}

// handleLeafDraining records that a leaf process reported that it is draining.
func (n *Node) handleLeafDraining(address netip.AddrPort, bootID string) {
	n.healthCheck.MarkDraining(address, bootID)
}
