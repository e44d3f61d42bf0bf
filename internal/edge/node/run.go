package node

import (
	"context"
	"errors"
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/decide/shutdown"
	"github.com/micaplank/micaplank/internal/edge/combine"
	"github.com/micaplank/micaplank/internal/edge/delegate"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/settings"
)

const (
	// minBackoff is the first pause after a failed call to the store.
	minBackoff = 50 * time.Millisecond
	// maxBackoff bounds the pause between two calls to a store that does not answer. A node that
	// starts during an outage serves within half a second of the store's return.
	maxBackoff = 500 * time.Millisecond
	// restoreSettlingTime is the mean time after a restore of the store after which a key that the
	// store lacks counts as removed. Operators, leaves and nodes have written theirs again by then.
	restoreSettlingTime = 10 * time.Second
	// leaseTTL is how long the announcement stays after its node has ended. A node that misses two
	// renewals in a row stays announced.
	leaseTTL = 30 * time.Second
	// leaseBackoff bounds the pause between two attempts to announce or to write, so that several
	// attempts to announce fit into leaseTTL.
	leaseBackoff = 3 * time.Second
)

// suspensionCheckInterval is the time between two checks whether the machine was suspended. Timers
// stop with the machine, so timeouts that expired meanwhile take effect only at the next check. The
// interval is short compared with the timeout of a request.
const suspensionCheckInterval = 100 * time.Millisecond

// Run serves until ctx ends, and then shuts down gracefully: it reports not ready immediately,
// continues to serve for the drain delay, and gives each request its final answer; see package
// shutdown.
func (n *Node) Run(ctx context.Context) error {
	servers, err := listen(n.endpoints(), n.serverTimeouts)
	if err != nil {
		return err
	}
	peers, err := n.listenPeers()
	if err != nil {
		return errors.Join(err, shutdownUnused(servers))
	}
	event.Log(n.logger, event.Started{HTTP: n.settings.Listen.HTTP.String(), Zone: n.settings.Zone, Cores: n.self.Cores, DetectsSuspensions: n.clock.BootClockErrors() == 0})
	backgroundCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var background sync.WaitGroup
	n.startBackground(backgroundCtx, &background)
	serveErrors := make(chan error, len(servers))
	for _, server := range servers {
		background.Go(func() { serveErrors <- ignoreServerClosed(server.Serve()) })
	}
	select {
	case <-ctx.Done():
	case err = <-serveErrors:
	}
	err = errors.Join(err, n.drain(servers, peers))
	stop()
	background.Wait()
	err = errors.Join(err, n.peers.Close())
	n.publisher.stop()
	event.Log(n.logger, event.Stopped{Unanswered: n.conn.InFlight()})
	return err
}

// startBackground starts the goroutines other than those of the servers. They run until ctx ends.
func (n *Node) startBackground(ctx context.Context, background *sync.WaitGroup) {
	background.Go(func() { n.newMirror().Run(ctx) })
	background.Go(func() { n.follower.announcer.run(ctx) })
	background.Go(func() { n.delegate.Run(ctx) })
	background.Go(func() { n.combine.Run(ctx) })
	background.Go(func() { n.rollouts.run(ctx) })
	background.Go(func() { n.quarantine.run(ctx) })
	background.Go(func() { n.clock.WatchSuspensions(ctx, suspensionCheckInterval, n.handleResume) })
}

// handleResume is called after a suspension of the machine. It processes the timeouts that expired
// meanwhile.
func (n *Node) handleResume(suspended time.Duration) {
	n.metrics.suspendedSeconds.Add(suspended.Seconds())
	event.Log(n.logger, event.Resumed{Suspended: suspended})
	n.conn.Tick()
	n.publisher.publish()
}

// newMirror returns the reader of the store that feeds the follower.
func (n *Node) newMirror() *mirror.Mirror {
	n.mirror.SetPlanner(n.ports.Decoder.NodePrefix(), n.follower.planStart)
	return mirror.New(mirror.Config{
		Prefix:     n.ports.Decoder.Prefix(),
		MinBackoff: minBackoff, MaxBackoff: maxBackoff,
		WatchTimeout: n.settings.Forward.WatchWait.Duration(),
		BatchDelay:   n.settings.Forward.WatchGather.Duration(),
		SettlingTime: restoreSettlingTime,
	}, n.mirror, n.follower)
}

// listenPeers opens the address for calls of other nodes. It returns nil if the settings have none.
func (n *Node) listenPeers() (*peer.Server, error) {
	if !n.settings.Listen.Peer.IsValid() {
		return nil, nil
	}
	server, err := peer.Listen(n.settings.Listen.Peer, n.metricsRegistry)
	if err != nil {
		return nil, err
	}
	delegate.Serve(server, n.runner)
	combine.Serve(server, n.ports.Leaves, n.conn.IsUsable)
	serveMirror(server, n.mirror)
	n.rollouts.serveReports(server)
	server.Start()
	return server, nil
}

// drain announces the stop to all parts that hold requests, and ends each server once its requests
// are answered. Other nodes are sent away at once, since they have other nodes to turn to.
func (n *Node) drain(servers []*httpServer, peers *peer.Server) error {
	schedule := shutdown.Plan(n.settings.Forward.StopTimeout.Duration(), n.settings.Forward.DrainDelay.Duration())
	n.draining.Store(true)
	event.Log(n.logger, event.Draining{
		InFlight: n.conn.InFlight(), Waiting: n.conn.Load().WaitingShards, AnswerBy: schedule.AnswerBy,
	})
	exitCtx, cancel := context.WithTimeout(context.Background(), schedule.ExitBy)
	defer cancel()
	n.conn.Stop(n.clock.Now() + schedule.AnswerBy)
	answerTimer := time.AfterFunc(schedule.AnswerBy, n.endRequests)
	defer answerTimer.Stop()
	peersClosed := closePeers(exitCtx, peers)
	time.Sleep(schedule.CloseAfter)
	var errs []error
	for _, server := range servers {
		errs = append(errs, server.Shutdown(exitCtx))
	}
	return errors.Join(append(errs, <-peersClosed)...)
}

// closePeers closes the server for other nodes, which may be nil, in the background. The channel
// receives the result.
func closePeers(ctx context.Context, peers *peer.Server) <-chan error {
	closed := make(chan error, 1)
	if peers == nil {
		closed <- nil
		return closed
	}
	go func() { closed <- peers.Close(ctx) }()
	return closed
}

// Reload receives the settings after they were read again. All of them need a restart to take
// effect; the log states whether any has changed.
func (n *Node) Reload(current settings.Settings) {
	event.Log(n.logger, event.SettingsReloaded{Changed: !reflect.DeepEqual(current, n.settings)})
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
