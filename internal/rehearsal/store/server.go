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

// Server is a running stand-in.
type Server struct {
	config     Config
	logger     *slog.Logger
	address    string
	stopped    chan struct{}
	goroutines sync.WaitGroup

	mutex sync.Mutex
	// http serves now; it is replaced after each time of refused connections.
	httpServer *http.Server
	// refuseFor is how long connections will be refused once http is closed.
	refuseDuration time.Duration
	// refusing is set from the order to refuse connections until http serves
	// again: calls that still come through an open connection have no effect.
	refusing bool
	database *database
	// changed is closed and replaced whenever the database gets a new revision.
	revisionChanged chan struct{}
	faults          Faults
	limiter         *rate.Limiter
	// faultsChanged is closed and replaced whenever the faults are set.
	faultsChanged chan struct{}
	// breaks counts the orders to break the open watches.
	watchBreaks int
	counters    Counters
}

// Counters counts what the stand-in did since it started.
type Counters struct {
	Calls       int64 `json:"calls"`
	RateLimited int64 `json:"rate_limited"`
	Failed      int64 `json:"failed"`
	RepliesLost int64 `json:"replies_lost"`
	Writes      int64 `json:"writes"`
	Watches     int64 `json:"watches"`
}

// Start listens and serves until Close.
func Start(config Config, logger *slog.Logger) (*Server, error) {
	if err := config.Check(); err != nil {
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

const readHeaderTimeout = 5 * time.Second

// Address is the address that the stand-in listens on.
func (s *Server) Address() string { return s.address }

// Close stops serving, breaks every connection and waits for the server's
// goroutines. It may be called once.
func (s *Server) Close() {
	close(s.stopped)
	s.closeHTTPServer()
	s.goroutines.Wait()
}

// announce wakes the watches; the mutex is held.
func (s *Server) notifyWatches() {
	close(s.revisionChanged)
	s.revisionChanged = make(chan struct{})
	limit := s.config.HistoryLimit
	if oldest := s.database.revision - limit; limit > 0 && oldest > s.database.compacted {
		_ = s.database.compact(oldest)
	}
}
