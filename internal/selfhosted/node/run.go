package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/machines"
	"github.com/micaplank/micaplank/internal/telemetry"
)

const (
	// headerTimeout bounds the time that a caller may take for its headers.
	readHeaderTimeout = 10 * time.Second
	// loadTimeout bounds one poll of a leaf's load.
	loadPollTimeout = time.Second
	// drainGrace is the time between the announcement of a planned stop and
	// the closing of idle connections: callers and peers need it to move.
	drainAnnouncementDelay = time.Second
	// slotInterval is the time between two looks at who holds this node's slot.
	slotCheckInterval = 500 * time.Millisecond
	// leaveTimeout bounds the announcement to the other nodes.
	leaveTimeout = 2 * time.Second
)

// Run starts the node and blocks until ctx ends, an operator drains it or
// another process takes over its slot. It then stops as planned: nothing in
// flight is cut off within the drain timeout. It returns nil if so.
func (n *Node) Run(ctx context.Context) error {
	n.peerServer.Serve()
	n.membership.Start()
	n.dissemination.Start()
	n.backgroundTasks.Go(n.watchCatalog)
	n.backgroundTasks.Go(n.watchSlot)
	n.backgroundTasks.Go(n.watchMachines)
	n.backgroundTasks.Go(n.runMarkSync)
	n.backgroundTasks.Go(func() { n.ledger.Run(n.backgroundContext) })
	serveError := make(chan error, 1)
	n.backgroundTasks.Go(func() { serveError <- ignoreServerClosed(n.httpServer.Serve(n.httpListener)) })
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

// beginDrain announces the planned stop; it returns at once.
func (n *Node) beginDrain() {
	n.drainOnce.Do(func() { close(n.draining) })
}

// drain ends the node: first the announcement, then the callers' connections
// as they become idle, then everything that the queries needed.
func (n *Node) drain() error {
	n.logger.Info("draining", "queries_in_flight", n.services.countInFlight())
	n.gateway.Drain()
	leaveContext, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	leaveErr := n.membership.Leave(leaveContext)
	time.Sleep(drainAnnouncementDelay)
	drainContext, cancel := context.WithTimeout(context.Background(), n.settings.Limits.DrainTimeout.Duration())
	defer cancel()
	err := errors.Join(n.httpServer.Shutdown(drainContext), n.peerServer.Close(drainContext))
	if leaveErr != nil {
		n.logger.Warn("leaving was not acknowledged", telemetry.Error(leaveErr))
	}
	n.close()
	if err != nil {
		n.logger.Error("requests were cut off", telemetry.Error(err))
		return err
	}
	n.logger.Info("stopped")
	return nil
}

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

// followCatalog installs each new catalog.
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

// followSlot ends the node when another process has taken over its slot. The
// members or the voters may be the first to report it.
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
				events = nil // the ticker goes on
			}
		case <-ticker.C:
		}
	}
	n.logger.Error("slot taken over")
	n.beginDrain()
}

func (n *Node) isSuperseded() bool {
	return n.membership.Superseded() || n.dissemination.Superseded()
}

// followMachines marks the leaves that the machine list calls leaving.
func (n *Node) watchMachines() {
	if n.machinePoller == nil {
		return
	}
	n.machinePoller.Run(n.backgroundContext, func(list machines.List) {
		for _, machine := range list.Machines {
			if machine.Kind == machines.KindLeaf && machine.State != machines.StateLive {
				n.healthCheck.MachineLeaving(machine.Address, machine.BootID)
			}
		}
	})
}

// ignoreClosed hides the error of a server that was shut down as planned.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
