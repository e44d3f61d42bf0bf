package hollow

import (
	"context"
	"net/netip"
	"sync/atomic"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/dissemination"
	"github.com/micaplank/micaplank/internal/membership"
	"github.com/micaplank/micaplank/internal/peer"
)

// socketNode is the control part of one node's process.
type socketNode struct {
	fleet       *socketFleet
	slot        slot
	incarnation uint64
	address     netip.AddrPort

	server        *peer.Server
	datagrams     *peer.Datagrams
	calls         *peer.Client
	transport     *dissemination.PeerTransport
	membership    *membership.Service
	dissemination *dissemination.Service

	stopped  atomic.Bool
	watching atomic.Int32

	sentBytes       atomic.Uint64
	receivedBytes   atomic.Uint64
	sentPackets     atomic.Uint64
	receivedPackets atomic.Uint64
	membershipBytes atomic.Uint64
}

func newSocketNode(f *socketFleet, place slot, incarnation uint64, at netip.AddrPort) (*socketNode, error) {
	server, datagrams, err := peer.ListenPair(at, nil)
	if err != nil {
		return nil, err
	}
	n := &socketNode{
		fleet: f, slot: place, incarnation: incarnation, address: server.Address(),
		server: server, datagrams: datagrams, calls: peer.NewClient(peer.ClientOptions{}, nil),
	}
	n.transport = dissemination.NewPeerTransport(datagrams, n.calls)
	self := place.member(incarnation)
	self.Address, self.HTTPAddress = n.address, n.address
	n.membership = membership.NewService(membership.Options{
		Config: membership.DefaultConfig(), Self: self, Seeds: f.seeds,
		Datagrams: membershipPort{n}, Seed: f.config.Seed + uint64(place.index)<<32 + incarnation,
	})
	n.dissemination = dissemination.NewService(dissemination.ServiceOptions{
		Config: dissemination.DefaultConfig(),
		Self:   disseminationMember(self),
		Members: func() []dissemination.Member {
			return disseminationMembers(n.membership.Members())
		},
		Store: &watchedStore{
			storeClient{f.storage, func() bool { return f.reachesStore(place.zone) }}, &n.watching,
		},
		Transport: exchangeTransport{n},
	})
	return n, nil
}

// start lets the node take part.
func (n *socketNode) start() {
	n.dissemination.Serve(n.datagrams, n.server)
	n.datagrams.Handle(peer.KindMembership, n.counted(n.membership.Receive))
	n.datagrams.Handle(peer.KindExchange, n.counted(n.dissemination.Receive))
	n.server.Serve()
	n.membership.Start()
	n.dissemination.Start()
}

func (n *socketNode) counted(handler peer.DatagramHandler) peer.DatagramHandler {
	return func(from netip.AddrPort, payload []byte) {
		n.receivedPackets.Add(1)
		n.receivedBytes.Add(uint64(len(payload)) + 1)
		handler(from, payload)
	}
}

// send passes a datagram on unless a cut lies between.
func (n *socketNode) send(to netip.AddrPort, payload []byte, send func() error) error {
	n.sentPackets.Add(1)
	n.sentBytes.Add(uint64(len(payload)) + 1)
	if n.fleet.separated(n.slot.zone, to) {
		return nil
	}
	return send()
}

// inherit takes the counters of the slot over.
func (n *socketNode) inherit(former *socketNode) {
	n.sentBytes.Store(former.sentBytes.Load())
	n.receivedBytes.Store(former.receivedBytes.Load())
	n.sentPackets.Store(former.sentPackets.Load())
	n.receivedPackets.Store(former.receivedPackets.Load())
	n.membershipBytes.Store(former.membershipBytes.Load())
}

func (n *socketNode) traffic() traffic {
	return traffic{
		sentBytes: n.sentBytes.Load(), receivedBytes: n.receivedBytes.Load(),
		sentPackets: n.sentPackets.Load(), receivedPackets: n.receivedPackets.Load(),
		membershipBytes: n.membershipBytes.Load(),
	}
}

// close stops the node and frees its address.
func (n *socketNode) close() {
	if n.stopped.Swap(true) {
		return
	}
	n.dissemination.Close()
	n.membership.Close()
	_ = n.calls.Close()
	_ = n.datagrams.Close()
	_ = n.server.Close(context.Background())
}

// membershipPort sends the membership's datagrams.
type membershipPort struct{ node *socketNode }

// Send implements membership.Datagrams.
func (p membershipPort) Send(to netip.AddrPort, payload []byte) error {
	p.node.membershipBytes.Add(uint64(len(payload)) + 1)
	return p.node.send(to, payload, func() error {
		return p.node.datagrams.Send(peer.KindMembership, to, payload)
	})
}

// exchangeTransport sends the datagrams and calls of the dissemination.
type exchangeTransport struct{ node *socketNode }

// Send implements dissemination.Transport.
func (t exchangeTransport) Send(to netip.AddrPort, payload []byte) error {
	return t.node.send(to, payload, func() error { return t.node.transport.Send(to, payload) })
}

// Fetch implements dissemination.Transport.
func (t exchangeTransport) Fetch(
	ctx context.Context, to netip.AddrPort, call *dissemination.FetchCall,
) (*dissemination.FetchReply, error) {
	if t.node.fleet.separated(t.node.slot.zone, to) {
		return nil, errCut
	}
	reply, err := t.node.transport.Fetch(ctx, to, call)
	if err == nil {
		size := len(reply.Checkpoint)
		for _, change := range reply.Changes {
			size += len(change)
		}
		t.node.receivedBytes.Add(uint64(size))
	}
	return reply, err
}

// watchedStore counts the watches that run.
type watchedStore struct {
	storeClient
	watching *atomic.Int32
}

// WatchChanges implements dissemination.Store.
func (s *watchedStore) WatchChanges(ctx context.Context, deliver func([]catalog.Change)) error {
	s.watching.Add(1)
	defer s.watching.Add(-1)
	return s.storeClient.WatchChanges(ctx, deliver)
}
