// Package machines implements a fake of the platform's machine list for tests and the demo. Changes
// of the list become visible after a configurable lag. The format of the list is defined in
// internal/selfhosted/machines.
package machines

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/selfhosted/machines"
	"github.com/micaplank/micaplank/internal/settings"
)

// ControlPath accepts a ControlRequest by POST.
const ControlPath = "/control"

const (
	readHeaderTimeout = 5 * time.Second
	maximumBodyBytes  = 1 << 20
)

// Config configures a fake machine list.
type Config struct {
	// Address is the IP address and port to listen on; port 0 selects a free port.
	Address string `toml:"address" validate:"required"`
	// Lag is the time after which a change becomes visible to readers.
	Lag settings.Duration `toml:"lag" validate:"gte=0"`
	// Machines is the list at the start. It is visible immediately.
	Machines []machines.Machine `toml:"machines"`
}

// ControlRequest changes a running fake machine list.
type ControlRequest struct {
	// Add adds machines to the list. A machine replaces any machine with the same address.
	Add []machines.Machine `json:"add,omitempty"`
	// Leave and Gone set the state of machines, and Remove removes them from the list.
	Leave  []netip.AddrPort `json:"leave,omitempty"`
	Gone   []netip.AddrPort `json:"gone,omitempty"`
	Remove []netip.AddrPort `json:"remove,omitempty"`
	// Lag replaces the lag if it is not nil. Later reads use the new lag for all changes.
	Lag *settings.Duration `json:"lag,omitempty"`
	// Down makes reads fail with status 503 if it is true and succeed again if it is false. Nil
	// changes nothing.
	Down *bool `json:"down,omitempty"`
}

// Server is a running fake machine list.
type Server struct {
	logger     *slog.Logger
	listener   net.Listener
	httpServer *http.Server
	goroutines sync.WaitGroup

	mutex   sync.Mutex
	history *history
	lag     time.Duration
	down    bool
}

// Start starts a fake machine list that serves until Close.
func Start(config Config, logger *slog.Logger) (*Server, error) {
	failure := oops.In("rehearsal.machines").With("step", "listen", "peer", config.Address)
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(config); err != nil {
		return nil, failure.Wrap(err)
	}
	if _, err := netip.ParseAddrPort(config.Address); err != nil {
		return nil, failure.Errorf("address: expected an IP address with a port, found %q", config.Address)
	}
	if err := (machines.List{Machines: config.Machines}).Validate(); err != nil {
		return nil, failure.Wrap(err)
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, failure.Wrap(err)
	}
	server := &Server{
		logger: logger, listener: listener, lag: config.Lag.Duration(),
		history: newHistory(config.Machines, time.Now()),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+machines.ListPath, server.handleList)
	mux.HandleFunc("POST "+ControlPath, server.handleControl)
	server.httpServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	server.goroutines.Go(server.serve)
	return server, nil
}

// Address returns the address on which the machine list listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops serving, closes every connection and waits for the goroutine of the server. It must
// be called only once.
func (s *Server) Close() {
	_ = s.httpServer.Close()
	s.goroutines.Wait()
}

// Control applies a request in the same way as a POST to ControlPath.
func (s *Server) Control(request ControlRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if request.Lag != nil {
		s.lag = request.Lag.Duration()
	}
	if request.Down != nil {
		s.down = *request.Down
	}
	s.history.apply(request, time.Now())
}

func (s *Server) serve() {
	if err := s.httpServer.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("fake machine list stopped serving", "error", err)
	}
}

func (s *Server) handleList(writer http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	down := s.down
	list := s.history.listAt(time.Now().Add(-s.lag))
	s.mutex.Unlock()
	if down {
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(list)
}

func (s *Server) handleControl(writer http.ResponseWriter, request *http.Request) {
	var body ControlRequest
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maximumBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&body)
	if err == nil {
		err = machines.List{Machines: body.Add}.Validate()
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	s.logger.Info("control", "request", body)
	s.Control(body)
	writer.WriteHeader(http.StatusNoContent)
}
