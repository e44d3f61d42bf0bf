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
const maximumCalls = 4096

// method is a registered handler with the type of its request.
type method struct {
	newRequest func() any
	run        func(ctx context.Context, from netip.AddrPort, request any) (any, error)
}

// Server takes calls from peers.
type Server struct {
	listener net.Listener
	metrics  *callMetrics

	mutex    sync.Mutex
	methods  map[string]method
	links    map[*serverLink]struct{}
	greeting map[net.Conn]struct{} // connections that have not greeted yet
	draining bool
	closed   bool

	running sync.WaitGroup
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
		listener: listener,
		metrics:  metrics,
		methods:  map[string]method{},
		links:    map[*serverLink]struct{}{},
		greeting: map[net.Conn]struct{}{},
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
	server.methods[name] = method{
		newRequest: func() any { return new(Request) },
		run: func(ctx context.Context, from netip.AddrPort, request any) (any, error) {
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
	s.running.Add(1)
	go s.accept()
}

func (s *Server) accept() {
	defer s.running.Done()
	for {
		connection, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process is out of descriptors, most likely.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.running.Add(1)
		go s.greet(connection)
	}
}

func (s *Server) greet(connection net.Conn) {
	defer s.running.Done()
	if !s.beginGreeting(connection) {
		_ = connection.Close()
		return
	}
	_ = connection.SetDeadline(time.Now().Add(handshakeTimeout))
	// The greeting is answered also if the other side's is wrong: it then
	// sees whom it has reached.
	wrong := expectGreeting(connection)
	unsent := greet(connection)
	s.endGreeting(connection)
	if unsent != nil || wrong != nil {
		s.metrics.calls.WithLabelValues("", "handshake_failed").Inc()
		_ = connection.Close()
		return
	}
	_ = connection.SetDeadline(time.Time{})
	s.serve(connection)
}

func (s *Server) beginGreeting(connection net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.greeting[connection] = struct{}{}
	return true
}

func (s *Server) endGreeting(connection net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.greeting, connection)
}

func (s *Server) serve(connection net.Conn) {
	sent := s.metrics.bytes.WithLabelValues("sent")
	received := s.metrics.bytes.WithLabelValues("received")
	l := &serverLink{
		server: s,
		from:   localAddress(connection.RemoteAddr()),
		calls:  map[uint64]context.CancelFunc{},
		link: newLink(connection,
			func(bytes int) { sent.Add(float64(bytes)) },
			func(bytes int) { received.Add(float64(bytes)) }),
	}
	if !s.add(l) {
		l.link.close()
		l.link.writer.Wait()
		return
	}
	l.read()
	l.link.close()
	l.cancelAll()
	l.link.writer.Wait()
	s.remove(l)
}

func (s *Server) add(l *serverLink) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.links[l] = struct{}{}
	s.metrics.connections.Inc()
	if s.draining {
		s.running.Go(l.end)
	}
	return true
}

func (s *Server) remove(l *serverLink) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.links, l)
	s.metrics.connections.Dec()
}

// admit finds the method of a request and counts the request as running on l,
// unless it is refused.
func (s *Server) admit(header frameHeader, l *serverLink) (method, refusal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := s.methods[header.Method]
	switch {
	case !ok:
		return method{}, refusedUnknownMethod
	case s.draining:
		return method{}, refusedDraining
	case l.inFlight() >= maximumCalls:
		return method{}, refusedBusy
	case header.Remaining < 0:
		return method{}, refusedLate
	}
	l.handlers.Add(1)
	return found, refusedNone
}
