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
	headerTimeout = 10 * time.Second
	// loadTimeout bounds one poll of a leaf's load.
	loadTimeout = time.Second
	// drainGrace is the time between the announcement of a planned stop and
	// the closing of idle connections: callers and peers need it to move.
	drainGrace = time.Second
	// slotInterval is the time between two looks at who holds this node's slot.
	slotInterval = 500 * time.Millisecond
	// leaveTimeout bounds the announcement to the other nodes.
	leaveTimeout = 2 * time.Second
)

// Run starts the node and blocks until ctx ends, an operator drains it or
// another process takes over its slot. It then stops as planned: nothing in
// flight is cut off within the drain timeout. It returns nil if so.
func (n *Node) Run(ctx context.Context) error {
	n.peerServer.Start()
	n.membership.Start()
	n.dissemination.Start()
	n.background.Go(n.followCatalog)
	n.background.Go(n.followSlot)
	n.background.Go(n.followMachines)
	n.background.Go(n.followMarks)
	n.background.Go(func() { n.ledger.Run(n.running) })
	failed := make(chan error, 1)
	n.background.Go(func() { failed <- ignoreClosed(n.http.Serve(n.listener)) })
	n.logger.Info("listening", "http", n.HTTPAddress(), "peer", n.PeerAddress())
	select {
	case <-ctx.Done():
		n.beginDrain()
	case <-n.draining:
	case err := <-failed:
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
	n.logger.Info("draining", "queries_in_flight", n.services.inFlight())
	n.gateway.Drain()
	announcing, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	leaveErr := n.membership.Leave(announcing)
	time.Sleep(drainGrace)
	finishing, cancel := context.WithTimeout(context.Background(), n.settings.Limits.DrainTimeout.Duration())
	defer cancel()
	err := errors.Join(n.http.Shutdown(finishing), n.peerServer.Close(finishing))
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
	n.stop()
	n.services.close()
	n.health.Close()
	n.dissemination.Close()
	n.membership.Close()
	n.background.Wait()
	n.leaves.Close()
	n.calls.Close()
	n.datagrams.Close()
	n.store.Close()
}

// followCatalog installs each new catalog.
func (n *Node) followCatalog() {
	changes, cancel := n.dissemination.Subscribe()
	defer cancel()
	n.install()
	for {
		select {
		case <-n.running.Done():
			return
		case <-changes:
			n.install()
		}
	}
}

// followSlot ends the node when another process has taken over its slot. The
// members or the voters may be the first to report it.
func (n *Node) followSlot() {
	events, cancel := n.membership.Subscribe()
	defer cancel()
	ticker := time.NewTicker(slotInterval)
	defer ticker.Stop()
	for !n.superseded() {
		select {
		case <-n.running.Done():
			return
		case _, open := <-events:
			if !open {
				events = nil // the ticker goes on
			}
		case <-ticker.C:
		}
	}
	n.logger.Error("slot taken over")
	n.beginDrain()
}

func (n *Node) superseded() bool {
	return n.membership.Superseded() || n.dissemination.Superseded()
}

// followMachines marks the leaves that the machine list calls leaving.
func (n *Node) followMachines() {
	if n.machines == nil {
		return
	}
	n.machines.Run(n.running, func(list machines.List) {
		for _, machine := range list.Machines {
			if machine.Kind == machines.KindLeaf && machine.State != machines.StateLive {
				n.health.MachineLeaving(machine.Address, machine.BootID)
			}
		}
	})
}

// ignoreClosed hides the error of a server that was shut down as planned.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
