package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/graceful"
	"github.com/micaplank/micaplank/internal/intake"
)

// serverTimeouts bounds the time that a client may take to send the headers of a request, the time
// that its connection may be idle between two requests, and the bytes of a head that are read at all.
type serverTimeouts struct {
	header    time.Duration
	idle      time.Duration
	headBytes int
}

// httpServer serves one address. Its timeouts are part of the configuration and change with it,
// while those of an http.Server are fixed. Each set of timeouts therefore has an http.Server of its
// own, and a connection keeps the timeouts that were in force when it was accepted.
type httpServer struct {
	handler  http.Handler
	timeouts func() serverTimeouts

	mutex    sync.Mutex
	closed   bool
	handoffs map[serverTimeouts]*handoffListener
	listener net.Listener
	guard    *intake.Guard
}

func newHTTPServer(listener net.Listener, handler http.Handler, timeouts func() serverTimeouts, guard *intake.Guard) *httpServer {
	return &httpServer{
		guard:    guard,
		handler:  handler,
		timeouts: timeouts,
		handoffs: make(map[serverTimeouts]*handoffListener),
		listener: listener,
	}
}

// Serve accepts connections until Shutdown is called, and then returns http.ErrServerClosed.
func (s *httpServer) Serve() error {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			if s.isClosed() {
				return http.ErrServerClosed
			}
			if isTemporaryAcceptError(err) {
				time.Sleep(acceptRetryDelay)
				continue
			}
			return err
		}
		if accepted, open := s.guard.Accept(connection); open {
			s.handoffFor(s.timeouts()).handOff(accepted)
		}
	}
}

// acceptRetryDelay is the pause after an Accept that failed because no file descriptor was free or
// because the client had already disconnected. It is short for a client and long enough to keep the
// loop from spinning.
const acceptRetryDelay = 5 * time.Millisecond

// isTemporaryAcceptError reports whether a later Accept may succeed.
func isTemporaryAcceptError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed)
}

// handoffFor returns the listener of the http.Server with these timeouts. It starts the server if
// it does not run yet.
func (s *httpServer) handoffFor(timeouts serverTimeouts) *handoffListener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if running := s.handoffs[timeouts]; running != nil {
		return running
	}
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: timeouts.header,
		IdleTimeout:       timeouts.idle,
		MaxHeaderBytes:    timeouts.headBytes,
	}
	intake.Serve(server)
	handoff := newHandoffListener(s.listener.Addr(), server)
	if s.closed {
		_ = handoff.Close() // never fails
		return handoff
	}
	s.handoffs[timeouts] = handoff
	go func() { _ = handoff.server.Serve(handoff) }() // ends only with Shutdown
	return handoff
}

func (s *httpServer) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// Shutdown stops accepting connections, closes idle ones, and waits until the active ones are done
// or ctx ends. It may be called more than once.
func (s *httpServer) Shutdown(ctx context.Context) error {
	s.mutex.Lock()
	first := !s.closed
	s.closed = true
	s.mutex.Unlock()
	var errs []error
	if first {
		errs = append(errs, s.listener.Close())
	}
	for _, handoff := range s.handoffs { // the map does not change once closed is set
		errs = append(errs, graceful.Shutdown(ctx, handoff.server))
	}
	return errors.Join(errs...)
}

// handoffListener is the net.Listener of an http.Server that gets its connections from an
// httpServer.
type handoffListener struct {
	server      *http.Server
	address     net.Addr
	connections chan net.Conn
	closeOnce   sync.Once
	done        chan struct{}
}

func newHandoffListener(address net.Addr, server *http.Server) *handoffListener {
	return &handoffListener{server: server, address: address, connections: make(chan net.Conn), done: make(chan struct{})}
}

// handOff passes a connection to the http.Server, or closes it if that server has been shut down.
func (l *handoffListener) handOff(connection net.Conn) {
	select {
	case l.connections <- connection:
	case <-l.done:
		_ = connection.Close() // nothing was read from it yet
	}
}

// Accept implements net.Listener.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handoffListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *handoffListener) Addr() net.Addr { return l.address }
