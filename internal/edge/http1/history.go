package http1

import "sync"

// History holds the connections that have carried a request. Attempts of one request share a
// History, so that no connection carries the request twice: a back end may repeat its response to an
// earlier attempt, which a Matcher cannot tell from the response to a later one. The zero value holds
// none. It is safe for concurrent use.
type History struct {
	mutex sync.Mutex
	// connections is a set, because the attempts of a request may use hundreds of connections.
	connections map[*connection]struct{}
}

// add adds a connection. A nil History ignores it.
func (h *History) add(used *connection) {
	if h == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.connections == nil {
		h.connections = make(map[*connection]struct{})
	}
	h.connections[used] = struct{}{}
}

// contains reports whether a connection was added. A nil History contains none.
func (h *History) contains(candidate *connection) bool {
	if h == nil {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, used := h.connections[candidate]
	return used
}
