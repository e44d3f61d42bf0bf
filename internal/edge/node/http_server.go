package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerTimes bounds the time that a caller may take for the headers of a
// request, and for which its connection may be idle between two.
type serverTimeouts struct {
	header time.Duration
	idle   time.Duration
}

// callerServer serves callers on one address. The times allowed to callers are
// part of the configuration and change with it, while those of an http.Server
// are fixed; so each set of times has a Server of its own, and a connection
// keeps the times of the moment at which it was accepted.
type httpServer struct {
	handler  http.Handler
	timeouts func() serverTimeouts

	mutex    sync.Mutex
	closed   bool
	handoffs map[serverTimeouts]*handoffListener
	listener net.Listener
}

func newHTTPServer(listener net.Listener, handler http.Handler, timeouts func() serverTimeouts) *httpServer {
	return &httpServer{
		handler:  handler,
		timeouts: timeouts,
		handoffs: make(map[serverTimeouts]*handoffListener),
		listener: listener,
	}
}

// Serve accepts connections until Shutdown, and then returns
// http.ErrServerClosed.
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
		s.handoffFor(s.timeouts()).handOff(connection)
	}
}

// acceptPause is the pause after an Accept that failed for want of descriptors,
// or because the caller was gone again. Not measured: chosen because it is short for a
// caller, and keeps the loop from spinning.
const acceptRetryDelay = 5 * time.Millisecond

// temporary reports whether a later Accept may succeed.
func isTemporaryAcceptError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed)
}

// inboxOf returns the inbox of the Server with these times, and starts it if
// there is none.
func (s *httpServer) handoffFor(timeouts serverTimeouts) *handoffListener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if running := s.handoffs[timeouts]; running != nil {
		return running
	}
	handoff := newHandoffListener(s.listener.Addr(), &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: timeouts.header,
		IdleTimeout:       timeouts.idle,
	})
	if s.closed {
		_ = handoff.Close() // it never fails
		return handoff
	}
	s.handoffs[timeouts] = handoff
	go func() { _ = handoff.server.Serve(handoff) }() // it ends with Shutdown alone
	return handoff
}

func (s *httpServer) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// Shutdown stops accepting, closes idle connections, and waits for the
// others to end, or for ctx. It may be called again.
func (s *httpServer) Shutdown(ctx context.Context) error {
	s.mutex.Lock()
	first := !s.closed
	s.closed = true
	s.mutex.Unlock()
	var errs []error
	if first {
		errs = append(errs, s.listener.Close())
	}
	for _, handoff := range s.handoffs { // nothing is added once closed
		errs = append(errs, handoff.server.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

// inbox hands connections accepted elsewhere to an http.Server, as its
// net.Listener.
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

// put hands a connection over, or closes it if the Server has ended.
func (i *handoffListener) handOff(connection net.Conn) {
	select {
	case i.connections <- connection:
	case <-i.done:
		_ = connection.Close() // it has been read no byte of
	}
}

// Accept implements net.Listener.
func (i *handoffListener) Accept() (net.Conn, error) {
	select {
	case connection := <-i.connections:
		return connection, nil
	case <-i.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (i *handoffListener) Close() error {
	i.closeOnce.Do(func() { close(i.done) })
	return nil
}

// Addr implements net.Listener.
func (i *handoffListener) Addr() net.Addr { return i.address }
