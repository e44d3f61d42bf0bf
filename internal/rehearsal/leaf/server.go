package leaf

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"
	"github.com/samber/oops"
	"golang.org/x/net/netutil"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// maximumBodyBytes limits the size of a request body.
const maximumBodyBytes = 1 << 20

// Server is a running fake leaf.
type Server struct {
	config       Config
	bootID       string
	started      time.Time
	logger       *slog.Logger
	listener     net.Listener
	httpServer   *http.Server
	slots        *slots
	sampler      *serviceTimeSampler
	holdings     *holdings
	journal      *journal
	executions   *executionLog
	faults       *faultState
	reporter     *loadReporter
	replySwapper replySwapper
	parser       statementParser
	draining     atomic.Bool
	stopSampling context.CancelFunc
	goroutines   sync.WaitGroup
}

// Start starts a leaf that serves until Close or Drain. The logger must not be nil.
func Start(config Config, logger *slog.Logger) (*Server, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, oops.With("step", "leaf_listen", "peer", config.Listen.String()).Wrap(err)
	}
	s := newServer(config, logger, listener)
	sampleContext, stop := context.WithCancel(context.Background())
	s.stopSampling = stop
	s.goroutines.Go(func() { s.sampleLoad(sampleContext) })
	s.goroutines.Go(s.serve)
	return s, nil
}

func newServer(config Config, logger *slog.Logger, listener net.Listener) *Server {
	if config.BootID == "" {
		config.BootID = ulid.Make().String()
	}
	if config.Connections > 0 {
		listener = netutil.LimitListener(listener, config.Connections)
	}
	journal := new(journal)
	s := &Server{
		config:     config,
		bootID:     config.BootID,
		started:    time.Now(),
		listener:   listener,
		slots:      newSlots(config.Slots, config.Queue),
		sampler:    newServiceTimeSampler(config.Seed),
		holdings:   newHoldings(config, journal),
		journal:    journal,
		executions: new(executionLog),
		faults:     newFaults(config),
	}
	s.logger = logger.With("leaf", s.Address().String(), "service", config.Service)
	s.reporter = &loadReporter{server: s}
	s.httpServer = s.newHTTPServer()
	return s
}

// connectionKey is the context key of the net.Conn of a request.
type connectionKey struct{}

func (s *Server) newHTTPServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:   s.router(),
		Protocols: protocols,
		ErrorLog:  slog.NewLogLogger(s.logger.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
}

func (s *Server) router() *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.POST(protocol.ExecutePath, s.handleExecute)
	router.GET(protocol.LoadPath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Load()) })
	s.routeControl(router)
	return router
}

func (s *Server) serve() {
	if err := s.httpServer.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("fake leaf stopped serving", "error", err)
	}
}

func (s *Server) sampleLoad(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.reporter.recordSample(now)
		case <-ctx.Done():
			return
		}
	}
}

// Address returns the address on which the leaf listens.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// BootID returns the ID of this run of the leaf.
func (s *Server) BootID() string { return s.bootID }

// Load returns the load report with the injected faults applied.
func (s *Server) Load() protocol.LoadReport {
	return protocol.LoadReport{
		BootID:               s.bootID,
		LoadSummary:          s.reporter.summary(),
		Service:              s.config.Service,
		Holdings:             s.holdings.snapshots(),
		AsOfUnixMilliseconds: time.Now().UnixMilli(),
	}
}

// Executions returns the execution log.
func (s *Server) Executions() Executions { return s.executions.snapshot(s.bootID) }

// state returns the actual state of the leaf, without injected faults.
func (s *Server) state() protocol.State {
	switch {
	case s.draining.Load():
		return protocol.StateDraining
	case time.Since(s.started) < time.Duration(s.config.ColdFor):
		return protocol.StateCold
	default:
		return protocol.StateServing
	}
}

// Drain refuses new requests, waits until the requests in flight have completed and stops serving.
// If ctx ends first, Drain closes their connections and returns the error.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	err := s.shutdown(ctx)
	if err != nil {
		err = oops.With("step", "leaf_drain", "peer", s.Address().String()).Wrap(err)
	}
	s.Close()
	return err
}

// shutdownRetryInterval is the time after which Shutdown is called again. With a single call, a
// stop on a machine with overloaded CPUs occasionally lasts until its deadline.
const shutdownRetryInterval = 500 * time.Millisecond

// shutdown stops the HTTP server. http.Server.Shutdown notifies only the HTTP/2 connections that
// are established when it is called, but it also waits for connections that become established
// later, even if they carry no request. Therefore shutdown calls it repeatedly until no connection
// is left.
func (s *Server) shutdown(ctx context.Context) error {
	for {
		attempt, cancel := context.WithTimeout(ctx, shutdownRetryInterval)
		err := s.httpServer.Shutdown(attempt)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// Close closes all connections and waits for the goroutines of the server. It may be called more
// than once.
func (s *Server) Close() {
	s.stopSampling()
	s.httpServer.Close()
	s.goroutines.Wait()
}

// readBody reads a request body of at most maximumBodyBytes. Errors are HTTP errors.
func readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maximumBodyBytes))
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return body, nil
}

// decodeStrict decodes JSON and rejects unknown fields. Errors are HTTP errors.
func decodeStrict(body []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}
