package node

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"

	"github.com/samber/oops"

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
)

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

// buildControl makes the parts that keep the catalog and the members.
func (n *Node) buildControl() {
	n.buildMembership()
	n.buildDissemination()
	if n.settings.Machines.Address.IsValid() {
		n.machines = machines.NewPoller(machinesConfig(n.settings.Machines), n.random(), n.registry)
	}
}

func (n *Node) buildMembership() {
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
}

func (n *Node) buildDissemination() {
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
}

// buildQueryPath makes the parts that run queries, from the leaves up to the
// interface of callers.
func (n *Node) buildQueryPath() {
	n.buildLeaves()
	n.buildQueries()
	n.buildGateway()
	n.registry.MustRegister(newCollector(n))
}

func (n *Node) buildLeaves() {
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
}

func (n *Node) buildQueries() {
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
}

func (n *Node) buildGateway() {
	n.gateway = gateway.New(gateway.Config{
		Queries:    newIntake(n.queries, n.draining, n.settings.Limits.Concurrency),
		Operations: &operations{n},
		Metrics:    n.registry.Handler(),
		Logger:     n.logger,
		BodyBytes:  n.settings.Limits.BodyBytes,
		Ready:      n.ready,
	})
	n.http = &http.Server{Handler: n.gateway, ReadHeaderTimeout: headerTimeout}
}

func (n *Node) random() *rand.Rand {
	return rand.New(rand.NewPCG(n.incarnation, uint64(n.PeerAddress().Port())))
}
