package store

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
	"golang.org/x/time/rate"
)

// Server is a running fake store.
type Server struct {
	config     Config
	logger     *slog.Logger
	address    string
	stopped    chan struct{}
	goroutines sync.WaitGroup

	mutex sync.Mutex
	// httpServer is the current HTTP server. It is replaced after each period of refused
	// connections.
	httpServer *http.Server
	// refuseDuration is the time for which connections are refused after httpServer is closed.
	refuseDuration time.Duration
	// refusing is set from the request to refuse connections until a new httpServer is ready. While
	// it is set, calls on connections that are still open are not executed.
	refusing bool
	database *database
	// revisionChanged is closed and replaced when the database gets a new revision.
	revisionChanged chan struct{}
	faults          Faults
	limiter         *rate.Limiter
	// faultsChanged is closed and replaced when the faults are set.
	faultsChanged chan struct{}
	// watchBreaks counts the requests to close the connections of open watches.
	watchBreaks int
	counters    Counters
}

// Counters counts the events since the start.
type Counters struct {
	Calls       int64 `json:"calls"`
	RateLimited int64 `json:"rate_limited"`
	Failed      int64 `json:"failed"`
	RepliesLost int64 `json:"replies_lost"`
	Writes      int64 `json:"writes"`
	Watches     int64 `json:"watches"`
}

// Start starts a fake store that serves until Close.
func Start(config Config, logger *slog.Logger) (*Server, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, oops.In("rehearsal.store").With("step", "listen", "peer", config.Address).Wrap(err)
	}
	server := &Server{
		config: config, logger: logger, address: listener.Addr().String(), stopped: make(chan struct{}),
		database: newDatabase(), revisionChanged: make(chan struct{}), faultsChanged: make(chan struct{}),
	}
	server.SetFaults(config.Faults)
	server.httpServer = server.newHTTPServer()
	server.goroutines.Go(func() { server.serve(listener) })
	return server, nil
}

// readHeaderTimeout limits the time to read the headers of a request.
const readHeaderTimeout = 5 * time.Second

// Address returns the address on which the store listens.
func (s *Server) Address() string { return s.address }

// Close stops serving, closes every connection and waits for the goroutines of the server. It must
// be called only once.
func (s *Server) Close() {
	close(s.stopped)
	s.closeHTTPServer()
	s.goroutines.Wait()
}

// notifyWatches wakes the watches and compacts the revisions beyond the history limit. The caller
// must hold the mutex.
func (s *Server) notifyWatches() {
	close(s.revisionChanged)
	s.revisionChanged = make(chan struct{})
	limit := s.config.HistoryLimit
	if oldest := s.database.revision - limit; limit > 0 && oldest > s.database.compacted {
		_ = s.database.compact(oldest)
	}
}
