package node

import (
	"sync"
	"sync/atomic"
)

// installation is the revision up to which the parts that act on the catalog
// have received it.
type installState struct {
	revision atomic.Uint64
	mutex    sync.Mutex
}

// install hands the newest catalog to the parts that act on it, unless they
// have it. It returns when they do. Freshness is a statement about the newest catalog,
// so whoever relies on it calls install: a node that has just resumed is fresh
// again before followCatalog has run.
func (n *Node) installCatalog() {
	if n.installState.revision.Load() >= n.dissemination.Current().Revision {
		return
	}
	n.installState.mutex.Lock()
	defer n.installState.mutex.Unlock()
	current := n.dissemination.Current()
	if n.installState.revision.Load() >= current.Revision {
		return
	}
	n.healthCheck.SetCatalog(current)
	n.services.removeDroppedServices(current)
	n.queryRunner.SetVoters(current)
	n.installState.revision.Store(current.Revision)
}
