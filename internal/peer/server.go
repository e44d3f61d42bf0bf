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

// maximumCalls bounds the calls that run at once for one connection; more are
// refused.
// Not measured: chosen because it bounds the goroutines that a peer can start.
const maxConcurrentCalls = 4096

// method is a registered handler with the type of its request.
type registeredMethod struct {
	newRequest func() any
	handle     func(ctx context.Context, from netip.AddrPort, request any) (any, error)
}

// Server takes calls from peers.
type Server struct {
	listener net.Listener
	metrics  *callMetrics

	mutex       sync.Mutex
	methods     map[string]registeredMethod
	conns       map[*serverConn]struct{}
	handshaking map[net.Conn]struct{} // connections that have not greeted yet
	draining    bool
	closed      bool

	goroutines sync.WaitGroup
}

// Listen opens a TCP listener at address (port 0 picks a free one). Calls are
// taken once Serve is called, so that methods can be registered first.
func Listen(address netip.AddrPort, registerer prometheus.Registerer) (*Server, error) {
	return listen(address, newCallMetrics(registerer, "server"))
}

func listen(address netip.AddrPort, metrics *callMetrics) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, oops.In("peer").With("step", "listen").With("peer", address.String()).Wrap(err)
	}
	return &Server{
		listener:    listener,
		metrics:     metrics,
		methods:     map[string]registeredMethod{},
		conns:       map[*serverConn]struct{}{},
		handshaking: map[net.Conn]struct{}{},
	}, nil
}

// Register sets the handler of a method. Request and Response are structs that
// gob can encode: at least one exported field each. The handler's context ends
// with the caller's deadline, when the caller gives up and when the connection
// is lost. An error from the handler reaches the caller as text.
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

// Address returns the local address, with the port that was picked.
func (s *Server) Address() netip.AddrPort { return localAddress(s.listener.Addr()) }

// Serve starts to accept connections and returns at once.
func (s *Server) Serve() {
	s.goroutines.Add(1)
	go s.accept()
}

func (s *Server) accept() {
	defer s.goroutines.Done()
	for {
		netConn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process is out of descriptors, most likely.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.goroutines.Add(1)
		go s.handshake(netConn)
	}
}

func (s *Server) handshake(netConn net.Conn) {
	defer s.goroutines.Done()
	if !s.addHandshaking(netConn) {
		_ = netConn.Close()
		return
	}
	_ = netConn.SetDeadline(time.Now().Add(handshakeTimeout))
	// The greeting is answered also if the other side's is wrong: it then
	// sees whom it has reached.
	wrong := readGreeting(netConn)
	unsent := writeGreeting(netConn)
	s.removeHandshaking(netConn)
	if unsent != nil || wrong != nil {
		s.metrics.calls.WithLabelValues("", "handshake_failed").Inc()
		_ = netConn.Close()
		return
	}
	_ = netConn.SetDeadline(time.Time{})
	s.serve(netConn)
}

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

// admit finds the method of a request and counts the request as running on conn,
// unless it is refused.
func (s *Server) admit(header frameHeader, conn *serverConn) (registeredMethod, refusal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := s.methods[header.Method]
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
	return found, refusedNone
}
