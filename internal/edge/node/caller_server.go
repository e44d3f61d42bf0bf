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
type callerTimes struct {
	header time.Duration
	idle   time.Duration
}

// callerServer serves callers on one address. The times allowed to callers are
// part of the configuration and change with it, while those of an http.Server
// are fixed; so each set of times has a Server of its own, and a connection
// keeps the times of the moment at which it was accepted.
type callerServer struct {
	handler http.Handler
	times   func() callerTimes

	mutex    sync.Mutex
	closed   bool
	inboxes  map[callerTimes]*inbox
	listener net.Listener
}

func newCallerServer(listener net.Listener, handler http.Handler, times func() callerTimes) *callerServer {
	return &callerServer{
		handler:  handler,
		times:    times,
		inboxes:  make(map[callerTimes]*inbox),
		listener: listener,
	}
}

// Serve accepts connections until Shutdown, and then returns
// http.ErrServerClosed.
func (s *callerServer) Serve() error {
	for {
		accepted, err := s.listener.Accept()
		if err != nil {
			if s.isClosed() {
				return http.ErrServerClosed
			}
			if temporary(err) {
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		s.inboxOf(s.times()).put(accepted)
	}
}

// acceptPause is the pause after an Accept that failed for want of descriptors,
// or because the caller was gone again. Not measured: chosen because it is short for a
// caller, and keeps the loop from spinning.
const acceptPause = 5 * time.Millisecond

// temporary reports whether a later Accept may succeed.
func temporary(err error) bool {
	var network net.Error
	return errors.As(err, &network) && !errors.Is(err, net.ErrClosed)
}

// inboxOf returns the inbox of the Server with these times, and starts it if
// there is none.
func (s *callerServer) inboxOf(times callerTimes) *inbox {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found := s.inboxes[times]; found != nil {
		return found
	}
	started := newInbox(s.listener.Addr(), &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: times.header,
		IdleTimeout:       times.idle,
	})
	if s.closed {
		_ = started.Close() // it never fails
		return started
	}
	s.inboxes[times] = started
	go func() { _ = started.server.Serve(started) }() // it ends with Shutdown alone
	return started
}

func (s *callerServer) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// Shutdown stops accepting, closes idle connections, and waits for the
// others to end, or for ctx. It may be called again.
func (s *callerServer) Shutdown(ctx context.Context) error {
	s.mutex.Lock()
	first := !s.closed
	s.closed = true
	s.mutex.Unlock()
	var errs []error
	if first {
		errs = append(errs, s.listener.Close())
	}
	for _, one := range s.inboxes { // nothing is added once closed
		errs = append(errs, one.server.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

// inbox hands connections accepted elsewhere to an http.Server, as its
// net.Listener.
type inbox struct {
	server      *http.Server
	address     net.Addr
	connections chan net.Conn
	closing     sync.Once
	done        chan struct{}
}

func newInbox(address net.Addr, server *http.Server) *inbox {
	return &inbox{server: server, address: address, connections: make(chan net.Conn), done: make(chan struct{})}
}

// put hands a connection over, or closes it if the Server has ended.
func (i *inbox) put(accepted net.Conn) {
	select {
	case i.connections <- accepted:
	case <-i.done:
		_ = accepted.Close() // it has been read no byte of
	}
}

// Accept implements net.Listener.
func (i *inbox) Accept() (net.Conn, error) {
	select {
	case accepted := <-i.connections:
		return accepted, nil
	case <-i.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (i *inbox) Close() error {
	i.closing.Do(func() { close(i.done) })
	return nil
}

// Addr implements net.Listener.
func (i *inbox) Addr() net.Addr { return i.address }
