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

// maximumCalls bounds the calls that run at once for one connection.
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
		l.goAway()
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

// Close stops to accept, refuses new calls and waits until the running ones
// have been answered, or ctx ends; then it closes all connections. It returns
// the context's error if calls were cut off.
func (s *Server) Close(ctx context.Context) error {
	links := s.drain()
	var err error
	for _, l := range links {
		if waitErr := l.finish(ctx); waitErr != nil {
			err = waitErr
		}
	}
	s.mutex.Lock()
	s.closed = true
	for l := range s.links {
		l.link.close()
	}
	for connection := range s.greeting {
		_ = connection.Close()
	}
	s.mutex.Unlock()
	s.running.Wait()
	return err
}

func (s *Server) drain() []*serverLink {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	links := make([]*serverLink, 0, len(s.links))
	for l := range s.links {
		l.goAway()
		links = append(links, l)
	}
	return links
}

// serverLink is one connection that a peer opened.
type serverLink struct {
	server *Server
	from   netip.AddrPort
	link   *link

	mutex sync.Mutex
	calls map[uint64]context.CancelFunc
	// handlers counts the handlers that run; it grows only under the server's
	// mutex while the server is not draining.
	handlers sync.WaitGroup
}

// finish waits until the running handlers have been answered and closes the
// link.
func (l *serverLink) finish(ctx context.Context) error {
	go func() {
		l.handlers.Wait()
		l.link.send(&outgoing{last: true})
	}()
	select {
	case <-l.link.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *serverLink) read() {
	for {
		var header frameHeader
		if l.link.decoder.Decode(&header) != nil {
			return
		}
		var err error
		switch header.Kind {
		case frameRequest:
			err = l.request(header)
		case frameCancel:
			l.cancel(header.Call)
			err = l.link.skip(header)
		default:
			err = l.link.skip(header)
		}
		if err != nil {
			return
		}
	}
}

func (l *serverLink) request(header frameHeader) error {
	found, refused := l.server.admit(header, l)
	if refused != refusedNone {
		l.refuse(header, refused)
		return l.link.skip(header)
	}
	request := found.newRequest()
	if err := l.link.decoder.Decode(request); err != nil {
		l.handlers.Done()
		l.refuse(header, refusedMalformed)
		return err
	}
	ctx, cancel := callContext(header.Remaining)
	l.mutex.Lock()
	l.calls[header.Call] = cancel
	l.mutex.Unlock()
	l.server.running.Add(1)
	go l.run(ctx, header, found, request)
	return nil
}

func callContext(remaining time.Duration) (context.Context, context.CancelFunc) {
	if remaining == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), remaining)
}

func (l *serverLink) run(ctx context.Context, header frameHeader, found method, request any) {
	defer l.server.running.Done()
	defer l.handlers.Done()
	response, err := found.run(ctx, l.from, request)
	answer := frameHeader{Kind: frameResponse, Call: header.Call}
	result := "answered"
	if err != nil {
		answer.Failure, response, result = err.Error(), nil, "failed"
	}
	l.server.metrics.calls.WithLabelValues(header.Method, result).Inc()
	l.respond(answer, response)
	l.cancel(header.Call)
}

func (l *serverLink) refuse(header frameHeader, why refusal) {
	name := header.Method
	if why == refusedUnknownMethod {
		name = "" // a peer must not be able to make up label values
	}
	l.server.metrics.calls.WithLabelValues(name, "refused").Inc()
	l.respond(frameHeader{Kind: frameResponse, Call: header.Call, Refusal: why}, nil)
}

func (l *serverLink) respond(header frameHeader, body any) {
	frame := &outgoing{header: header, body: body}
	frame.failed = func(err error) *outgoing {
		failure := frameHeader{Kind: frameResponse, Call: header.Call, Failure: err.Error()}
		return &outgoing{header: failure}
	}
	l.link.send(frame)
}

func (l *serverLink) goAway() {
	frame := &outgoing{header: frameHeader{Kind: frameGoAway}}
	select {
	case l.link.queue <- frame:
	default: // the peer is refused instead
	}
}

func (l *serverLink) inFlight() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.calls)
}

func (l *serverLink) cancel(call uint64) {
	l.mutex.Lock()
	cancel := l.calls[call]
	delete(l.calls, call)
	l.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (l *serverLink) cancelAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, cancel := range l.calls {
		cancel()
	}
}
