package forward

import (
	"sync"
	"time"
)

// patienceMemory is after how many requests of a kind the longest patience is
// looked for anew, so that a change of the clients is followed.
const patienceMemory = 256

// patience estimates how much of its time a request has used up before it came
// here. A client tells how long it still waits; the longest that clients of a
// kind tell is the whole, since they begin with that. It is safe for concurrent
// use.
type patience struct {
	mutex sync.Mutex
	kinds map[string]*longest
}

// longest is the longest patience of a kind: of the present span of requests,
// and of the one before it.
type longest struct {
	present, former time.Duration
	seen            int
}

func newPatience() *patience {
	return &patience{kinds: make(map[string]*longest)}
}

// elapsed takes in the patience of a request of a kind and returns for how long
// its client has waited already; zero if the client did not say.
func (p *patience) elapsed(kind string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.kinds[kind]
	if !found {
		known = &longest{}
		p.kinds[kind] = known
	}
	known.seen++
	if known.seen > patienceMemory {
		known.former, known.present, known.seen = known.present, 0, 0
	}
	known.present = max(known.present, left)
	return max(known.present, known.former) - left
}
