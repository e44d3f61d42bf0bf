package node

import (
	"errors"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/topology"
)

// Reasons for which a node does not take work.
var (
	errNotFresh        = errors.New("the catalog may be out of date")
	errDraining        = errors.New("the node is leaving")
	errSuperseded      = errors.New("another process has taken over the slot of this node")
	errMarksOutdated   = errors.New("other nodes have not been asked of late which leaves are leaving")
	errLeavesNotPolled = errors.New("some leaves have not been asked for their load yet")
)

// catalogs gives the runner of queries what is in force.
type catalogSource struct {
	node *Node
}

// Current returns the installed catalog.
func (c catalogSource) Current() *catalog.Catalog { return c.node.dissemination.Current() }

// Fresh reports whether the node may take work now.
func (c catalogSource) Fresh() bool { return c.node.admit() == nil }

// mayAct says directly before a send whether the node may still send work.
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

// admit says whether work may begin now. It installs the newest catalog first,
// so that what is decided from here on follows it.
func (n *Node) admit() error {
	if err := n.checkSend(); err != nil {
		return err
	}
	n.installCatalog()
	return nil
}

// ready says whether the node takes work from callers.
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
