package http1

import (
	"slices"
	"sync"
)

// History holds the connections that have carried a request. Attempts of one request share a
// History, so that no connection carries the request twice: a back end may repeat its response to an
// earlier attempt, which a Matcher cannot tell from the response to a later one. It is safe for
// concurrent use.
type History struct {
	mutex       sync.Mutex
	connections []*connection
}

// add adds a connection. A nil History holds none.
func (h *History) add(used *connection) {
	if h == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.connections = append(h.connections, used)
}

func (h *History) contains(candidate *connection) bool {
	if h == nil {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Contains(h.connections, candidate)
}
