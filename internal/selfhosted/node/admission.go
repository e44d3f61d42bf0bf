package node

import (
	"errors"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/topology"
)

// Reasons for which a node refuses to start or send work.
var (
	errNotFresh        = errors.New("the catalog may be outdated")
	errDraining        = errors.New("the node is draining")
	errSuperseded      = errors.New("another process has taken over the slot of this node")
	errMarksOutdated   = errors.New("the marks of leaving leaves have not been synchronized recently")
	errLeavesNotPolled = errors.New("some leaves have not been polled for their load yet")
)

// catalogSource gives the query runner the installed catalog and its freshness.
type catalogSource struct {
	node *Node
}

// Current returns the installed catalog.
func (c catalogSource) Current() *catalog.Catalog { return c.node.dissemination.Current() }

// Fresh reports whether the node may start work now.
func (c catalogSource) Fresh() bool { return c.node.admit() == nil }

// checkSend returns an error if the node must not send work to leaves. Guards call it directly
// before each send.
func (n *Node) checkSend() error {
	if n.membership.Superseded() {
		return errSuperseded
	}
	if !n.dissemination.Fresh() {
		return errNotFresh
	}
	if !n.markSync.isCurrent(n.clock.Now()) {
		return errMarksOutdated
	}
	return nil
}

// admit returns an error if the node must not start work. Otherwise it installs the newest catalog,
// so that later decisions are based on it.
func (n *Node) admit() error {
	if err := n.checkSend(); err != nil {
		return err
	}
	n.installCatalog()
	return nil
}

// checkReady returns an error if the node does not accept queries from callers.
func (n *Node) checkReady() error {
	select {
	case <-n.draining:
		return errDraining
	default:
	}
	if err := n.checkSend(); err != nil {
		return err
	}
	for _, status := range n.healthCheck.Statuses() {
		if status.Status == topology.StatusUnknown {
			return errLeavesNotPolled
		}
	}
	return nil
}
