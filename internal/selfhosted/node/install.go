package node

import (
	"sync"
	"sync/atomic"
)

// installation is the revision up to which the parts that act on the catalog
// have received it.
type installation struct {
	revision atomic.Uint64
	mutex    sync.Mutex
}

// install hands the newest catalog to the parts that act on it, unless they
// have it. It returns when they do. Freshness is a statement about the newest catalog,
// so whoever relies on it calls install: a node that has just resumed is fresh
// again before followCatalog has run.
func (n *Node) install() {
	if n.installed.revision.Load() >= n.dissemination.Current().Revision {
		return
	}
	n.installed.mutex.Lock()
	defer n.installed.mutex.Unlock()
	current := n.dissemination.Current()
	if n.installed.revision.Load() >= current.Revision {
		return
	}
	n.health.SetCatalog(current)
	n.services.setCatalog(current)
	n.queries.SetVoters(current)
	n.installed.revision.Store(current.Revision)
}
