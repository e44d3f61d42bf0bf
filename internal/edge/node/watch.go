package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/startup"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
)

// The calls by which nodes ask each other for what the store holds.
const (
	methodWatch    = "mirror.watch"    // changes, of a watcher
	methodOffer    = "mirror.offer"    // what copy a node has
	methodSnapshot = "mirror.snapshot" // the copy
)

// watchRequest asks for the changes after a revision.
type watchRequest struct {
	After uint64
	Wait  time.Duration
}

// offerRequest asks a node for what copy it has.
type offerRequest struct{ Wait time.Duration }

// snapshotRequest asks a node for its copy.
type snapshotRequest struct{ From string }

// watchPeers implements mirror.Peers.
type watchPeers struct {
	client *peer.Client
	self   string
}

// Watch implements mirror.Peers.
func (p watchPeers) Watch(ctx context.Context, watcher netip.AddrPort, after uint64, wait time.Duration) (mirror.Watched, error) {
	var answer mirror.Watched
	err := p.client.Call(ctx, watcher, methodWatch, &watchRequest{After: after, Wait: wait}, &answer)
	return answer, err
}

// Offer implements mirror.Peers.
func (p watchPeers) Offer(ctx context.Context, source netip.AddrPort, wait time.Duration) (mirror.Offer, error) {
	var answer mirror.Offer
	err := p.client.Call(ctx, source, methodOffer, &offerRequest{Wait: wait}, &answer)
	return answer, err
}

// Snapshot implements mirror.Peers.
func (p watchPeers) Snapshot(ctx context.Context, source netip.AddrPort) (mirror.Snapshot, error) {
	var answer mirror.Snapshot
	err := p.client.Call(ctx, source, methodSnapshot, &snapshotRequest{From: p.self}, &answer)
	return answer, err
}

// serveWatches answers the questions of other nodes.
func (f *Node) serveWatches(server *peer.Server) {
	peer.Register(server, methodWatch, func(ctx context.Context, _ netip.AddrPort, request *watchRequest) (*mirror.Watched, error) {
		answer, err := f.shared.Serve(ctx, request.After, request.Wait)
		return &answer, err
	})
	peer.Register(server, methodOffer, func(ctx context.Context, _ netip.AddrPort, request *offerRequest) (*mirror.Offer, error) {
		answer := f.shared.Offer(ctx, request.Wait)
		return &answer, nil
	})
	peer.Register(server, methodSnapshot, func(context.Context, netip.AddrPort, *snapshotRequest) (*mirror.Snapshot, error) {
		answer, err := f.shared.Snapshot()
		return &answer, err
	})
}

// planStart implements mirror.Planner.
func (f *Node) planStart(items []mirror.Item) mirror.Plan {
	return mirror.Plan(startup.NewPlan(f.member.Peer, f.announcedMembers(items), f.settings.Peers.Seeds, rand.Shuffle))
}

// announcedMembers reads the nodes that are announced.
func (f *Node) announcedMembers(items []mirror.Item) []roster.Member {
	known := roster.New(nodesMemory, 0)
	for _, item := range items {
		if member, counts := (storeSink{f}).member(item); counts {
			known.Add(f.clock.Now(), item.Key, member)
		}
	}
	return known.Members(f.clock.Now())
}

// setWatchers tells the source who watches the store.
func (f *Node) setWatchers(members []roster.Member) {
	watching := false
	var others []netip.AddrPort
	for _, watcher := range roster.Preferred(f.member, roster.Watchers(members, f.settings.Peers.Seeds...)) {
		if watcher.Name == f.member.Name {
			watching = true
			continue
		}
		others = append(others, watcher.Peer)
	}
	f.shared.SetWatchers(watching, others)
}
