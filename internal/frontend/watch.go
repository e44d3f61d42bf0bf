package frontend

import (
	"context"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/mirror"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
)

// methodWatch is the call by which a node asks a watcher for changes.
const methodWatch = "mirror.watch"

// watchRequest asks for the changes after a revision.
type watchRequest struct {
	After uint64
	Wait  time.Duration
}

// watchPeers implements mirror.Peers.
type watchPeers struct{ client *peer.Client }

// Watch implements mirror.Peers.
func (p watchPeers) Watch(ctx context.Context, watcher netip.AddrPort, after uint64, wait time.Duration) (mirror.Watched, error) {
	var answer mirror.Watched
	err := p.client.Call(ctx, watcher, methodWatch, &watchRequest{After: after, Wait: wait}, &answer)
	return answer, err
}

// serveWatches answers the questions of other nodes.
func (f *Frontend) serveWatches(server *peer.Server) {
	peer.Register(server, methodWatch, func(ctx context.Context, _ netip.AddrPort, request *watchRequest) (*mirror.Watched, error) {
		answer := f.shared.Serve(ctx, request.After, request.Wait)
		return &answer, nil
	})
}

// setWatchers tells the source who watches the store.
func (f *Frontend) setWatchers(members []roster.Member) {
	watching := false
	var others []netip.AddrPort
	for _, watcher := range roster.Preferred(f.member, roster.Watchers(members)) {
		if watcher.Name == f.member.Name {
			watching = true
			continue
		}
		others = append(others, watcher.Peer)
	}
	f.shared.SetWatchers(watching, others)
}
