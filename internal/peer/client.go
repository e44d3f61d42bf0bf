package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// ClientOptions are the limits of a Client. Zero fields take the defaults.
type ClientOptions struct {
	// ConnectionsPerPeer is how many connections calls to one peer share.
	// Default 1.
	ConnectionsPerPeer int
	// DialTimeout bounds the connect and the handshake together. Default 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection without calls is kept. Default 60 s.
	IdleTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline. Default 30 s.
	CallTimeout time.Duration
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.ConnectionsPerPeer <= 0 {
		o.ConnectionsPerPeer = 1
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = time.Second
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = time.Minute
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = 30 * time.Second
	}
	return o
}

// slotKey names one of the connections to a peer.
type slotKey struct {
	peer  netip.AddrPort
	index int
}

// Client calls peers over pooled connections. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	metrics *callMetrics
	dialing context.Context
	stop    context.CancelFunc

	mutex  sync.Mutex
	slots  map[slotKey]*clientLink
	turn   int
	closed bool

	calls sync.WaitGroup // running calls
	links sync.WaitGroup // goroutines of links
}

// NewClient returns a client without connections; they are opened by calls.
func NewClient(options ClientOptions, registerer prometheus.Registerer) *Client {
	dialing, stop := context.WithCancel(context.Background())
	return &Client{
		options: options.withDefaults(),
		metrics: newCallMetrics(registerer, clientSide),
		dialing: dialing,
		stop:    stop,
		slots:   map[slotKey]*clientLink{},
	}
}

// linkRetries is how often a call is tried again on another connection after
// one that ended before anything was sent on it.
// Not measured: chosen because each try needs a connection that ends just then.
const linkRetries = 3

// Call sends request to a method of a peer and waits for its response, which
// it stores into response, a pointer to a struct. It never sends a request
// twice: it tries again only if no byte of it was sent. It blocks until the
// response, the end of ctx or the loss of the connection. Its errors are of type
// *Error (use errors.As).
func (c *Client) Call(ctx context.Context, to netip.AddrPort, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	failure := c.call(ctx, to, method, request, response)
	for range linkRetries {
		if failure == nil || failure.Sent || !errors.Is(failure.Err, ErrLost) {
			break
		}
		// The pooled connection had just ended; nothing was sent on it.
		failure = c.call(ctx, to, method, request, response)
	}
	c.metrics.calls.WithLabelValues(method, resultOf(failure)).Inc()
	if failure == nil {
		return nil
	}
	failure.Peer, failure.Method = to, method
	failure.NotExecuted = failure.NotExecuted || !failure.Sent
	return wrap(failure)
}

func resultOf(failure *Error) string {
	if failure == nil {
		return "answered"
	}
	return string(failure.Step)
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, method string, request, response any) *Error {
	l, err := c.link(to)
	if err != nil {
		return &Error{Step: StepDial, Err: err}
	}
	defer c.calls.Done()
	select {
	case <-l.ready:
	case <-ctx.Done():
		return &Error{Step: StepDial, Err: ctx.Err()}
	}
	if l.failure != nil {
		return &Error{Step: l.failure.Step, Err: l.failure.Err}
	}
	failure := l.exchange(ctx, method, request, response)
	if failure != nil && errors.Is(failure.Err, ErrLost) {
		c.forget(l)
	}
	return failure
}

// link returns a usable connection or one that is being opened, and counts a
// running call.
func (c *Client) link(to netip.AddrPort) (*clientLink, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	c.calls.Add(1)
	c.turn = (c.turn + 1) % c.options.ConnectionsPerPeer
	key := slotKey{peer: to, index: c.turn}
	if l, ok := c.slots[key]; ok {
		return l, nil
	}
	l := newClientLink(c, key)
	c.slots[key] = l
	c.links.Add(1)
	go l.run()
	return l, nil
}

// forget removes a link that takes no more calls, so that the next call opens
// a new one.
func (c *Client) forget(l *clientLink) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.slots[l.key] == l {
		delete(c.slots, l.key)
	}
}

// Close refuses new calls, waits until the running ones have ended, and closes
// all connections.
func (c *Client) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.calls.Wait()
	c.stop()
	c.mutex.Lock()
	for _, l := range c.slots {
		l.shut()
	}
	c.mutex.Unlock()
	c.links.Wait()
	return nil
}

func (c *Client) dial(to netip.AddrPort) (net.Conn, *Error) {
	ctx, cancel := context.WithTimeout(c.dialing, c.options.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, &Error{Step: StepDial, Err: err}
	}
	deadline, _ := ctx.Deadline()
	_ = connection.SetDeadline(deadline)
	err = greet(connection)
	if err == nil {
		err = expectGreeting(connection)
	}
	if err != nil {
		_ = connection.Close()
		return nil, &Error{Step: StepHandshake, Err: err}
	}
	_ = connection.SetDeadline(time.Time{})
	return connection, nil
}
