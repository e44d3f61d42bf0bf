package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/position"
)

// These are the methods by which nodes ask each other for the content of the store. Nodes of
// different versions exchange the messages, so the fields keep their names.
const (
	methodWatch    = "mirror.watch"    // changes of the store, asked of a watcher
	methodOffer    = "mirror.offer"    // the state of a node's copy
	methodSnapshot = "mirror.snapshot" // the copy itself
)

// watchRequest asks for the changes after a position.
type watchRequest struct {
	After uint64
	Wait  time.Duration
	// Era is the era of the store that After belongs to; zero from a node of a version that does not
	// know eras.
	Era uint64
}

// offerRequest asks a node for the state of its copy of the store.
type offerRequest struct{ Wait time.Duration }

// snapshotRequest asks a node for its copy of the store.
type snapshotRequest struct{ From string }

// mirrorPeers implements mirror.Peers.
type mirrorPeers struct {
	client *peer.Client
	self   string
}

// Watch implements mirror.Peers.
func (p mirrorPeers) Watch(ctx context.Context, watcher netip.AddrPort, after position.Position, wait time.Duration) (mirror.WatchResponse, error) {
	var answer mirror.WatchResponse
	err := p.client.Call(ctx, watcher, methodWatch, &watchRequest{After: after.Revision, Era: after.Era, Wait: wait}, &answer)
	return answer, err
}

// Offer implements mirror.Peers.
func (p mirrorPeers) Offer(ctx context.Context, source netip.AddrPort, wait time.Duration) (mirror.Offer, error) {
	var answer mirror.Offer
	err := p.client.Call(ctx, source, methodOffer, &offerRequest{Wait: wait}, &answer)
	return answer, err
}

// Snapshot implements mirror.Peers.
func (p mirrorPeers) Snapshot(ctx context.Context, source netip.AddrPort) (mirror.Snapshot, error) {
	var answer mirror.Snapshot
	err := p.client.Call(ctx, source, methodSnapshot, &snapshotRequest{From: p.self}, &answer)
	return answer, err
}

// mirrorServer provides a copy of the store. It is implemented by mirror.Shared.
type mirrorServer interface {
	Serve(ctx context.Context, after position.Position, wait time.Duration) (mirror.WatchResponse, error)
	Offer(ctx context.Context, wait time.Duration) mirror.Offer
	Snapshot() (mirror.Snapshot, error)
}

// serveMirror answers the calls of other nodes from a copy of the store.
func serveMirror(server *peer.Server, shared mirrorServer) {
	peer.Register(server, methodWatch, func(ctx context.Context, _ netip.AddrPort, request *watchRequest) (*mirror.WatchResponse, error) {
		answer, err := shared.Serve(ctx, position.Position{Era: request.Era, Revision: request.After}, request.Wait)
		return &answer, err
	})
	peer.Register(server, methodOffer, func(ctx context.Context, _ netip.AddrPort, request *offerRequest) (*mirror.Offer, error) {
		answer := shared.Offer(ctx, request.Wait)
		return &answer, nil
	})
	peer.Register(server, methodSnapshot, func(context.Context, netip.AddrPort, *snapshotRequest) (*mirror.Snapshot, error) {
		answer, err := shared.Snapshot()
		return &answer, err
	})
}
