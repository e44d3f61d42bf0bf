// Package machines is a stand-in for the platform's machine list, for tests and
// the demo. The list lags by a settable time. It owns the list and its history, and
// relies on internal/selfhosted/machines for the form of the list.
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

// ControlPath takes a ControlRequest by POST.
const ControlPath = "/control"

const (
	readHeaderTimeout = 5 * time.Second
	maximumBodyBytes  = 1 << 20
)

// Config says where the stand-in listens and how it starts.
type Config struct {
	// Address is an IP address with a port; port 0 picks a free one.
	Address string `toml:"address" validate:"required"`
	// Lag is how long a change stays hidden from readers.
	Lag settings.Duration `toml:"lag" validate:"gte=0"`
	// Machines is the list at the start; it is visible at once.
	Machines []machines.Machine `toml:"machines"`
}

// ControlRequest changes the stand-in while it runs.
type ControlRequest struct {
	// Add puts machines on the list or replaces them, by address.
	Add []machines.Machine `json:"add,omitempty"`
	// Leave and Gone set the state of machines; Remove drops them from the list.
	Leave  []netip.AddrPort `json:"leave,omitempty"`
	Gone   []netip.AddrPort `json:"gone,omitempty"`
	Remove []netip.AddrPort `json:"remove,omitempty"`
	// Lag, if set, replaces the lag of changes made from now on.
	Lag *settings.Duration `json:"lag,omitempty"`
	// Down, if set, makes readings fail with status 503, or ends that.
	Down *bool `json:"down,omitempty"`
}

// Server is a running stand-in.
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

// Start listens and serves until Close.
func Start(config Config, logger *slog.Logger) (*Server, error) {
	failure := oops.In("rehearsal.machines").With("step", "listen", "peer", config.Address)
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(config); err != nil {
		return nil, failure.Wrap(err)
	}
	if _, err := netip.ParseAddrPort(config.Address); err != nil {
		return nil, failure.Errorf("address: expected an IP address with a port, found %q", config.Address)
	}
	if err := (machines.List{Machines: config.Machines}).Check(); err != nil {
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

// Address is the address that the stand-in listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops serving. It may be called once.
func (s *Server) Close() {
	_ = s.httpServer.Close()
	s.goroutines.Wait()
}

// Control carries out a request as POST to ControlPath does.
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
		s.logger.Error("machine list stand-in stopped", "error", err)
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
		err = machines.List{Machines: body.Add}.Check()
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	s.logger.Info("control", "request", body)
	s.Control(body)
	writer.WriteHeader(http.StatusNoContent)
}
