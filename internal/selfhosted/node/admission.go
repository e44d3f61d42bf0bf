package node

import (
	"errors"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/topology"
)

// Reasons for which a node does not take work.
var (
	errNotFresh   = errors.New("the catalog may be out of date")
	errDraining   = errors.New("the node is leaving")
	errSuperseded = errors.New("another process has taken over the slot of this node")
	errMarks      = errors.New("other nodes have not been asked of late which leaves are leaving")
	errLeaves     = errors.New("some leaves have not been asked for their load yet")
)

// catalogs gives the runner of queries what is in force.
type catalogs struct {
	node *Node
}

// Current returns the installed catalog.
func (c catalogs) Current() *catalog.Catalog { return c.node.dissemination.Current() }

// Fresh reports whether the node may take work now.
func (c catalogs) Fresh() bool { return c.node.admit() == nil }

// mayAct says directly before a send whether the node may still send work.
func (n *Node) mayAct() error {
	if n.membership.Superseded() {
		return errSuperseded
	}
	if !n.dissemination.Fresh() {
		return errNotFresh
	}
	if !n.marks.inStep(n.clock.Now()) {
		return errMarks
	}
	return nil
}

// admit says whether work may begin now. It installs the newest catalog first,
// so that what is decided from here on follows it.
func (n *Node) admit() error {
	if err := n.mayAct(); err != nil {
		return err
	}
	n.install()
	return nil
}

// ready says whether the node takes work from callers.
func (n *Node) ready() error {
	select {
	case <-n.draining:
		return errDraining
	default:
	}
	if err := n.mayAct(); err != nil {
		return err
	}
	for _, status := range n.health.Statuses() {
		if status.Status == topology.StatusUnknown {
			return errLeaves
		}
	}
	return nil
}
