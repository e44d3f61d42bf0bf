package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
)

// maxConcurrentCalls is the maximum number of concurrent calls of one connection. Further calls are
// refused. It limits the number of goroutines that a peer can start.
const maxConcurrentCalls = 4096

// registeredMethod is a handler with a constructor of its request.
type registeredMethod struct {
	newRequest func() any
	handle     func(ctx context.Context, from netip.AddrPort, request any) (any, error)
}

// Server handles calls of peers.
type Server struct {
	listener net.Listener
	metrics  *callMetrics

	mutex       sync.Mutex
	methods     map[string]registeredMethod
	conns       map[*serverConn]struct{}
	handshaking map[net.Conn]struct{} // accepted connections before the end of the handshake
	draining    bool
	closed      bool

	goroutines sync.WaitGroup
}

// Listen opens a TCP listener at address. With port 0 the system selects a free port. The server
// accepts connections after Start is called, so that methods can be registered before.
func Listen(address netip.AddrPort, registerer prometheus.Registerer) (*Server, error) {
	return listen(address, newCallMetrics(registerer, "server"))
}

func listen(address netip.AddrPort, metrics *callMetrics) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, oops.In("peer").With("step", "listen").With("peer", address.String()).Wrap(err)
	}
	server := &Server{
		listener:    listener,
		metrics:     metrics,
		methods:     map[string]registeredMethod{},
		conns:       map[*serverConn]struct{}{},
		handshaking: map[net.Conn]struct{}{},
	}
	Register(server, methodPing, handlePing)
	return server, nil
}

// Register sets the handler of a method. Request and Response are structs that gob can encode, so
// each has at least one exported field. The context of the handler ends at the caller's deadline,
// when the caller cancels the call, and when the connection is lost. The caller receives the text
// of an error that the handler returns.
func Register[Request, Response any](
	server *Server, name string,
	handler func(ctx context.Context, from netip.AddrPort, request *Request) (*Response, error),
) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.methods[name] = registeredMethod{
		newRequest: func() any { return new(Request) },
		handle: func(ctx context.Context, from netip.AddrPort, request any) (any, error) {
			response, err := handler(ctx, from, request.(*Request))
			if err != nil {
				return nil, err
			}
			return response, nil
		},
	}
}

// Address returns the local address with the actual port.
func (s *Server) Address() netip.AddrPort { return localAddress(s.listener.Addr()) }

// Start starts to accept connections in the background and returns immediately.
func (s *Server) Start() {
	s.goroutines.Add(1)
	go s.accept()
}

// accept accepts connections until the listener is closed.
func (s *Server) accept() {
	defer s.goroutines.Done()
	for {
		netConn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The most likely cause is that the process has no free file descriptors. The pause
			// avoids a busy loop.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.goroutines.Add(1)
		go s.handshake(netConn)
	}
}

// handshake exchanges greetings on an accepted connection and then serves it.
func (s *Server) handshake(netConn net.Conn) {
	defer s.goroutines.Done()
	if !s.addHandshaking(netConn) {
		_ = netConn.Close()
		return
	}
	_ = netConn.SetDeadline(time.Now().Add(handshakeTimeout))
	// The greeting is written even if the other side's greeting is wrong, so that the other side
	// can report which protocol it has reached.
	readErr := readGreeting(netConn)
	writeErr := writeGreeting(netConn)
	s.removeHandshaking(netConn)
	if writeErr != nil || readErr != nil {
		s.metrics.calls.WithLabelValues("", "handshake_failed").Inc()
		_ = netConn.Close()
		return
	}
	_ = netConn.SetDeadline(time.Time{})
	s.serve(netConn)
}

// addHandshaking returns false if the server is closed.
func (s *Server) addHandshaking(netConn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.handshaking[netConn] = struct{}{}
	return true
}

func (s *Server) removeHandshaking(netConn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.handshaking, netConn)
}

// serve handles the calls of a connection until it is closed.
func (s *Server) serve(netConn net.Conn) {
	sent := s.metrics.bytes.WithLabelValues("sent")
	received := s.metrics.bytes.WithLabelValues("received")
	conn := &serverConn{
		server:  s,
		remote:  localAddress(netConn.RemoteAddr()),
		cancels: map[uint64]context.CancelFunc{},
		framed: newFramedConn(netConn,
			func(bytes int) { sent.Add(float64(bytes)) },
			func(bytes int) { received.Add(float64(bytes)) }),
	}
	if !s.addConn(conn) {
		conn.framed.close()
		conn.framed.writerDone.Wait()
		return
	}
	conn.readFrames()
	conn.framed.close()
	conn.cancelAll()
	conn.framed.writerDone.Wait()
	s.removeConn(conn)
}

// addConn adds a connection, and drains it if the server is draining. It returns false if the
// server is closed.
func (s *Server) addConn(conn *serverConn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.metrics.connections.Inc()
	if s.draining {
		s.goroutines.Go(conn.drain)
	}
	return true
}

func (s *Server) removeConn(conn *serverConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, conn)
	s.metrics.connections.Dec()
}

// admit returns the method of a request and adds it to the running handlers of conn, or returns the
// reason of a refusal.
func (s *Server) admit(header frameHeader, conn *serverConn) (registeredMethod, refusal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	method, ok := s.methods[header.Method]
	switch {
	case !ok:
		return registeredMethod{}, refusedUnknownMethod
	case s.draining:
		return registeredMethod{}, refusedDraining
	case conn.inFlight() >= maxConcurrentCalls:
		return registeredMethod{}, refusedBusy
	case header.Remaining < 0:
		return registeredMethod{}, refusedLate
	}
	conn.handlers.Add(1)
	return method, refusedNone
}
