package node

import (
	"sync"
	"sync/atomic"
)

// installState holds the newest catalog revision that has been passed to all parts that use the
// catalog. The mutex serializes installations.
type installState struct {
	revision atomic.Uint64
	mutex    sync.Mutex
}

// installCatalog passes the newest catalog to the parts that use it, unless they already have it,
// and returns when they have it. Freshness refers to the newest catalog, so code that relies on
// freshness calls installCatalog first: a node that has just resumed can be fresh again before
// watchCatalog has run.
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
