package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

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

const (
	// fewestForSources is the number of nodes from which a node that starts copies
	// another one. Fewer can read the store all at once: a hundred ranges of 150 KB
	// take the link of a store, of 1 Gbit/s, for 0.12 s, and nodes that others wait
	// for may start 0.4 s later than those.
	fewestForSources = 100
	// nodesPerSource is how many copies a source hands out at the start of a whole
	// fleet.
	nodesPerSource = 25
)

// planStart implements mirror.Planner. Of a fleet that is announced, the nodes that
// come first by a hash of their names read the store, and the others copy them.
// Where nobody is announced, or the store does not tell, the seeds of the settings
// stand in.
func (f *Node) planStart(items []mirror.Item) mirror.Plan {
	members := f.announcedMembers(items)
	seeds := f.settings.Peers.Seeds
	switch {
	case len(members) == 0:
		return f.planBy(seeds)
	case len(members) < fewestForSources:
		return mirror.Plan{Direct: true, Others: f.planBy(seeds).Others}
	}
	var sources []netip.AddrPort
	for _, member := range roster.Spread(members, len(members)/nodesPerSource, seeds...) {
		sources = append(sources, member.Peer)
	}
	return f.planBy(sources)
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

// planBy plans a start with the nodes at some addresses as sources, each node in
// an order of its own.
func (f *Node) planBy(sources []netip.AddrPort) mirror.Plan {
	others := slices.DeleteFunc(slices.Clone(sources), func(one netip.AddrPort) bool { return one == f.member.Peer })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return mirror.Plan{Source: len(others) < len(sources), Others: others}
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
