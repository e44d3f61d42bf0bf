package node

import (
	"sync"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/executors"
)

// workload counts what the requests that run on this node cost it. It is safe for
// concurrent use.
type workload struct {
	clock clock.Clock
	cores float64
	// queries counts those that run now.
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

// accepts reports whether this node can take requests of others.
func (w *workload) accepts() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.load.Accepts(w.clock.Now(), w.cores, w.queries.InFlight())
}
