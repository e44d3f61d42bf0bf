package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/micaplank/micaplank/internal/decide/shutdown"
	"github.com/micaplank/micaplank/internal/graceful"
	"github.com/micaplank/micaplank/internal/intake"
	"github.com/micaplank/micaplank/internal/selfhosted/machines"
	"github.com/micaplank/micaplank/internal/telemetry"
)

const (
	// readHeaderTimeout bounds the time in which a caller sends its request headers.
	readHeaderTimeout = 10 * time.Second
	// loadPollTimeout bounds one poll of a leaf's load.
	loadPollTimeout = time.Second
	// drainAnnouncementDelay is the time between the announcement of a planned stop and the closing
	// of idle connections. Callers and peers use it to switch to other nodes.
	drainAnnouncementDelay = time.Second
	// slotCheckInterval is the time between two checks whether another process has taken over this
	// node's slot.
	slotCheckInterval = 500 * time.Millisecond
	// leaveTimeout bounds the announcement to the other nodes.
	leaveTimeout = 2 * time.Second
)

// Run starts the node and blocks until ctx ends, an operator drains the node or another process
// takes over its slot. It then stops the node as planned and returns nil if all requests in flight
// completed within the drain timeout.
func (n *Node) Run(ctx context.Context) error {
	n.peerServer.Start()
	n.membership.Start()
	n.dissemination.Start()
	n.backgroundTasks.Go(n.watchCatalog)
	n.backgroundTasks.Go(n.watchSlot)
	n.backgroundTasks.Go(n.watchMachines)
	n.backgroundTasks.Go(n.runMarkSync)
	n.backgroundTasks.Go(func() { n.ledger.Run(n.backgroundContext) })
	serveError := make(chan error, 1)
	n.backgroundTasks.Go(func() {
		serveError <- ignoreServerClosed(n.httpServer.Serve(intake.Listener{Listener: n.httpListener, Guard: n.clientGuard}))
	})
	n.logger.Info("listening", "http", n.HTTPAddress(), "peer", n.PeerAddress())
	select {
	case <-ctx.Done():
		n.beginDrain()
	case <-n.draining:
	case err := <-serveError:
		n.beginDrain()
		return errors.Join(err, n.drain())
	}
	return n.drain()
}

// beginDrain starts the planned stop and returns without waiting for it.
func (n *Node) beginDrain() {
	n.drainOnce.Do(func() { close(n.draining) })
}

// drain stops the node in order: it announces the stop, closes the callers' connections as they
// become idle, and then closes the parts that queries depend on.
func (n *Node) drain() error {
	n.logger.Info("draining", "queries_in_flight", n.services.countInFlight())
	n.gateway.Drain()
	leaveContext, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	leaveErr := n.membership.Leave(leaveContext)
	time.Sleep(drainAnnouncementDelay)
	schedule := shutdown.Plan(n.settings.Limits.DrainTimeout.Duration(), 0)
	drainContext, cancel := context.WithTimeout(context.Background(), schedule.ExitBy)
	defer cancel()
	n.services.stopWithin(schedule.AnswerBy)
	err := errors.Join(graceful.Shutdown(drainContext, n.httpServer), n.peerServer.Close(drainContext))
	if leaveErr != nil {
		n.logger.Warn("no member acknowledged the planned stop", telemetry.Error(leaveErr))
	}
	n.close()
	if err != nil {
		n.logger.Error("planned stop aborted requests in flight", telemetry.Error(err))
		return err
	}
	n.logger.Info("stopped")
	return nil
}

// close stops the background tasks and closes all parts.
func (n *Node) close() {
	n.cancelBackground()
	n.services.close()
	n.healthCheck.Close()
	n.dissemination.Close()
	n.membership.Close()
	n.backgroundTasks.Wait()
	n.leafClient.Close()
	n.peerClient.Close()
	n.datagrams.Close()
	n.store.Close()
}

// watchCatalog installs each new catalog.
func (n *Node) watchCatalog() {
	changes, cancel := n.dissemination.Subscribe()
	defer cancel()
	n.installCatalog()
	for {
		select {
		case <-n.backgroundContext.Done():
			return
		case <-changes:
			n.installCatalog()
		}
	}
}

// watchSlot drains the node when another process has taken over its slot. Either the members or the
// voters may report that first.
func (n *Node) watchSlot() {
	events, cancel := n.membership.Subscribe()
	defer cancel()
	ticker := time.NewTicker(slotCheckInterval)
	defer ticker.Stop()
	for !n.isSuperseded() {
		select {
		case <-n.backgroundContext.Done():
			return
		case _, ok := <-events:
			if !ok {
				events = nil // from here on, only the ticker triggers checks
			}
		case <-ticker.C:
		}
	}
	n.logger.Error("slot taken over")
	n.beginDrain()
}

// isSuperseded reports whether the members or the voters recognize another process in this node's
// slot.
func (n *Node) isSuperseded() bool {
	return n.membership.Superseded() || n.dissemination.Superseded()
}

// watchMachines marks the leaves that the machine list reports as leaving.
func (n *Node) watchMachines() {
	if n.machinePoller == nil {
		return
	}
	n.machinePoller.Run(n.backgroundContext, func(list machines.List) {
		for _, machine := range list.Machines {
			if machine.Kind == machines.KindLeaf && machine.State != machines.StateLive {
				n.healthCheck.MarkMachineLeaving(machine.Address, machine.BootID)
			}
		}
	})
}

// ignoreServerClosed returns nil for the error that a server returns after a planned shutdown.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
