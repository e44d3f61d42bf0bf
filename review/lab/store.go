package lab

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key with its value, or the removal of a key, as the store sends it.
type Item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// state is what the store keeps, and what a copy of it holds.
type state struct {
	items    map[string]Item
	history  []Item
	leases   map[uint64]time.Duration // time to live by id; the cases are shorter than any
	lastID   uint64
	revision uint64
}

// Store is a stand-in of the platform's store that can come back from a copy. Its leases do not run
// out, since no case lasts that long.
type Store struct {
	server   *http.Server
	listener net.Listener

	mutex   sync.Mutex
	state   state
	era     uint64
	away    bool
	changed chan struct{} // closed at each change
	// silent holds the connections on which an answer was lost: they say nothing more.
	silent map[net.Conn]bool
	open   map[net.Conn]bool
}

type connKey struct{}

// StartStore starts a store without keys. Its revisions begin above zero.
func StartStore() (*Store, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener: listener, era: 1, changed: make(chan struct{}),
		state:  state{items: make(map[string]Item), leases: make(map[uint64]time.Duration), revision: 100},
		silent: make(map[net.Conn]bool), open: make(map[net.Conn]bool),
	}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /v1/kv-key", s.getKey)
	routes.HandleFunc("GET /v1/kv-range", s.getRange)
	routes.HandleFunc("GET /v1/kv-watch", s.watch)
	routes.HandleFunc("POST /v1/kv-txn", s.transact)
	routes.HandleFunc("POST /v1/kv-lease", s.grant)
	routes.HandleFunc("POST /v1/kv-keep/{id}", s.renew)
	routes.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{
		Handler: routes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: s.trackConn,
	}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the listen address.
func (s *Store) Address() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

func (s *Store) trackConn(conn net.Conn, connState http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch connState {
	case http.StateNew:
		s.open[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.open, conn)
		delete(s.silent, conn)
	}
}

// Copy is a copy of the store.
type Copy struct{ state state }

// TakeCopy returns a copy of the store as it is now.
func (s *Store) TakeCopy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Copy{state{
		items: maps.Clone(s.state.items), history: slices.Clone(s.state.history), leases: maps.Clone(s.state.leases),
		lastID: s.state.lastID, revision: s.state.revision,
	}}
}

// GoAway makes the store answer nothing until Return. The connections that are open then stay silent
// for good.
func (s *Store) GoAway() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = true
	for conn := range s.open {
		s.silent[conn] = true
	}
	s.notifyLocked()
}

// Return brings the store back from a copy, as the next era.
func (s *Store) Return(from Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = false
	s.state = from.state
	s.era++
}

// Put writes a key as the operator or a leaf does. It reports the revision, or false while the store
// is away.
func (s *Store) Put(key string, value any) (uint64, bool) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return 0, false
	}
	s.writeLocked(key, content, 0)
	return s.state.revision, true
}

func (s *Store) writeLocked(key string, value []byte, lease uint64) {
	s.state.revision++
	item := Item{Key: key, Value: value, Revision: s.state.revision, Created: s.state.revision, Lease: lease}
	if previous, found := s.state.items[key]; found {
		item.Created = previous.Created
	}
	s.state.items[key] = item
	s.state.history = append(s.state.history, item)
	s.notifyLocked()
}

func (s *Store) removeLocked(key string) {
	if _, found := s.state.items[key]; !found {
		return
	}
	s.state.revision++
	delete(s.state.items, key)
	s.state.history = append(s.state.history, Item{Key: key, Revision: s.state.revision, Removed: true})
	s.notifyLocked()
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// enter locks the store for a call. It returns false, without the lock, for a call that gets no
// answer, once its caller has given up.
func (s *Store) enter(request *http.Request) bool {
	conn, _ := request.Context().Value(connKey{}).(net.Conn)
	s.mutex.Lock()
	if s.away {
		s.silent[conn] = true
	}
	if !s.silent[conn] {
		return true
	}
	s.mutex.Unlock()
	<-request.Context().Done()
	return false
}

// answerLocked sends an answer. The caller holds the lock, which answerLocked releases.
func (s *Store) answerLocked(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	content, err := json.Marshal(body)
	s.mutex.Unlock()
	if err != nil {
		panic(err)
	}
	writer.WriteHeader(status)
	_, _ = writer.Write(content) // fails if the caller has gone
}

func (s *Store) getKey(writer http.ResponseWriter, request *http.Request) {
	if !s.enter(request) {
		return
	}
	item, found := s.state.items[request.FormValue("private_key")]
	if !found {
		s.answerLocked(writer, http.StatusNotFound, struct{}{})
		return
	}
	s.answerLocked(writer, http.StatusOK, struct {
		Item
		Timestamp uint64 `json:"timestamp"`
	}{item, s.state.revision})
}

// pageItems is the number of items in a page.
const pageItems = 500

func (s *Store) getRange(writer http.ResponseWriter, request *http.Request) {
	if !s.enter(request) {
		return
	}
	page, more := []Item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
		if !strings.HasPrefix(key, request.FormValue("path_prefix")) || key <= request.FormValue("after") {
			continue
		}
		if more = len(page) == pageItems; more {
			break
		}
		page = append(page, s.state.items[key])
	}
	s.answerLocked(writer, http.StatusOK, map[string]any{"items": page, "has_more": more, "timestamp": s.state.revision})
}

func (s *Store) watch(writer http.ResponseWriter, request *http.Request) {
	after, errAfter := strconv.ParseUint(request.FormValue("after"), 10, 64)
	wait, errWait := strconv.Atoi(request.FormValue("wait_ms"))
	if errAfter != nil || errWait != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for timedOut := false; ; {
		if !s.enter(request) {
			return
		}
		if after > s.state.revision {
			s.answerLocked(writer, http.StatusGone, struct{}{})
			return
		}
		events := []Item{}
		for _, item := range s.state.history {
			if item.Revision > after && strings.HasPrefix(item.Key, request.FormValue("path_prefix")) {
				events = append(events, item)
			}
		}
		if len(events) > 0 || timedOut {
			s.answerLocked(writer, http.StatusOK, map[string]any{"events": events, "timestamp": s.state.revision})
			return
		}
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-request.Context().Done():
			return
		}
	}
}

// transaction is the body of kv-txn.
type transaction struct {
	Expected []Item   `json:"expected_rev"`
	Write    []Item   `json:"write"`
	Remove   []string `json:"remove"`
}

func (s *Store) transact(writer http.ResponseWriter, request *http.Request) {
	var txn transaction
	if err := json.NewDecoder(request.Body).Decode(&txn); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.enter(request) {
		return
	}
	current, holds := []Item{}, true
	for _, expected := range txn.Expected {
		item, found := s.state.items[expected.Key]
		holds = holds && item.Revision == expected.Revision
		if found {
			current = append(current, item)
		}
	}
	if !holds {
		s.answerLocked(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range txn.Write {
		if _, granted := s.state.leases[write.Lease]; write.Lease != 0 && !granted {
			s.answerLocked(writer, http.StatusNotFound, struct{}{})
			return
		}
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			s.answerLocked(writer, http.StatusForbidden, struct{}{})
			return
		}
	}
	for _, write := range txn.Write {
		s.writeLocked(write.Key, write.Value, write.Lease)
	}
	for _, key := range txn.Remove {
		s.removeLocked(key)
	}
	s.answerLocked(writer, http.StatusOK, map[string]any{"revision": s.state.revision})
}

func (s *Store) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.enter(request) {
		return
	}
	s.state.lastID++
	s.state.leases[s.state.lastID] = time.Duration(body.TTL) * time.Millisecond
	s.answerLocked(writer, http.StatusOK, map[string]any{"lease": s.state.lastID, "ttl_ms": body.TTL})
}

func (s *Store) renew(writer http.ResponseWriter, request *http.Request) {
	if !s.enter(request) {
		return
	}
	id, _ := strconv.ParseUint(request.PathValue("id"), 10, 64)
	ttl, granted := s.state.leases[id]
	if !granted {
		s.answerLocked(writer, http.StatusNotFound, struct{}{})
		return
	}
	s.answerLocked(writer, http.StatusOK, map[string]any{"ttl_ms": ttl.Milliseconds()})
}

func (s *Store) endLease(writer http.ResponseWriter, request *http.Request) {
	if !s.enter(request) {
		return
	}
	id, _ := strconv.ParseUint(request.PathValue("id"), 10, 64)
	delete(s.state.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
		if s.state.items[key].Lease == id {
			s.removeLocked(key)
		}
	}
	s.answerLocked(writer, http.StatusOK, struct{}{})
}
