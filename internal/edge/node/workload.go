package node

import (
	"sync"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/executors"
)

// workload measures the load that requests put on this node. It is safe for concurrent use.
type workload struct {
	clock clock.Clock
	cores float64
	// queries counts the queries that run now.
	queries interface{ InFlight() int }

	mutex sync.Mutex
	load  executors.Load
}

// add counts the attempts of a request that has ended.
func (w *workload) add(attempts int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.load.Add(w.clock.Now(), attempts)
}

// accepts reports whether this node can run requests of other nodes.
func (w *workload) accepts() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.load.Accepts(w.clock.Now(), w.cores, w.queries.InFlight())
}
