package node

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/edge/combine"
	"github.com/micaplank/micaplank/internal/edge/delegate"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
)

// executor runs requests of other nodes.
type executor struct{ *Node }

// room reports whether this node can take requests of others.
func (e executor) room() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.load.Accepts(e.clock.Now(), e.member.Cores, e.conn.InFlight())
}

// ran books the attempts of a request that took some time.
func (f *Node) ran(answer forward.Answer, took time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.load.Add(f.clock.Now(), answer.Total)
	f.rollouts.observe(answer, took)
}

// Status implements delegate.Runner.
func (e executor) Status() executors.Status {
	return executors.Status{
		Version:   e.forwarder.Version(),
		Accepting: e.room() && e.ready(),
		Fresh:     e.forwarder.Fresh(),
		Cordoned:  e.cordoned(),
	}
}

// terms are those of a request that is taken now.
func (f *Node) terms() executors.Terms {
	return executors.Terms{Version: f.forwarder.Version(), Fresh: f.forwarder.Fresh(), Cordoned: f.cordoned()}
}

// cordoned returns the zones that are out of service, by name.
func (f *Node) cordoned() []string {
	if known := f.outOfService.Load(); known != nil {
		return *known
	}
	return nil
}

// Run implements delegate.Runner.
func (e executor) Run(ctx context.Context, from string, version uint64, request *forward.Request) (forward.Answer, bool) {
	started := e.clock.Now()
	request.Arrived = started
	answer, ran := e.forwarder.ExecuteVersion(ctx, version, request)
	if ran {
		took := e.clock.Now() - started
		e.ran(answer, took)
		e.logAnswer(request, answer, took, from)
	}
	return answer, ran
}

// listenPeers opens the address for other nodes; nil without one.
func (f *Node) listenPeers() (*peer.Server, error) {
	if !f.settings.Listen.Peer.IsValid() {
		return nil, nil
	}
	server, err := peer.Listen(f.settings.Listen.Peer, f.registry)
	if err != nil {
		return nil, err
	}
	delegate.Serve(server, executor{f})
	combine.Serve(server, f.ports.Leaves, f.conn.MayGetWork)
	f.serveWatches(server)
	f.rollouts.serve(server)
	server.Serve()
	return server, nil
}

// self is what a node tells the others.
func (f *Node) self() roster.Member {
	return roster.Member{
		Name: f.settings.Name, Zone: f.settings.Zone, Peer: f.settings.Listen.Peer,
		Cores: f.settings.Process.Cores * f.settings.Process.CoreShare,
	}
}

// announced returns the key and the value that announce this incarnation.
func (f *Node) announced() (key string, value []byte) {
	value, err := f.member.Encode()
	if err != nil {
		event.Log(f.logger, event.NodeNotAnnounced{Error: err})
	}
	return f.ports.Decoder.NodeKey(f.settings.Name, ulid.Make().String()), value
}
