package dissemination

import (
	"context"
	"net/netip"

	"github.com/micaplank/micaplank/internal/peer"
)

// fetchMethod is the name of the fetch call between peers.
const fetchMethod = "dissemination.fetch"

// PeerTransport implements Transport with the datagrams and calls of package peer.
type PeerTransport struct {
	datagrams *peer.Datagrams
	client    *peer.Client
}

// NewPeerTransport returns a PeerTransport. The caller keeps ownership of both arguments.
func NewPeerTransport(datagrams *peer.Datagrams, client *peer.Client) *PeerTransport {
	return &PeerTransport{datagrams: datagrams, client: client}
}

// Send implements Transport.
func (t *PeerTransport) Send(to netip.AddrPort, payload []byte) error {
	return t.datagrams.Send(peer.KindExchange, to, payload)
}

// Fetch implements Transport.
func (t *PeerTransport) Fetch(ctx context.Context, to netip.AddrPort, call *FetchCall) (*FetchReply, error) {
	var reply FetchReply
	if err := t.client.Call(ctx, to, fetchMethod, call, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Serve registers the service's handlers for packets and fetch calls from peers.
func (s *Service) Serve(datagrams *peer.Datagrams, server *peer.Server) {
	datagrams.Handle(peer.KindExchange, s.Receive)
	peer.Register(server, fetchMethod, s.ServeFetch)
}
