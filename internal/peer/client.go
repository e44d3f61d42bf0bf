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
type poolKey struct {
	peer  netip.AddrPort
	index int
}

// Client calls peers over pooled connections. It is safe for concurrent use.
type Client struct {
	options     ClientOptions
	metrics     *callMetrics
	dialCtx     context.Context
	cancelDials context.CancelFunc

	mutex     sync.Mutex
	pool      map[poolKey]*clientConn
	nextIndex int
	closed    bool

	activeCalls    sync.WaitGroup // running calls
	connGoroutines sync.WaitGroup // goroutines of links
}

// NewClient returns a client without connections; they are opened by calls.
func NewClient(options ClientOptions, registerer prometheus.Registerer) *Client {
	dialing, stop := context.WithCancel(context.Background())
	return &Client{
		options:     options.withDefaults(),
		metrics:     newCallMetrics(registerer, clientSide),
		dialCtx:     dialing,
		cancelDials: stop,
		pool:        map[poolKey]*clientConn{},
	}
}

// linkRetries is how often a call is tried again on another connection after
// one that ended before anything was sent on it.
// Not measured: chosen because each try needs a connection that ends just then.
const maxUnsentRetries = 3

// Call sends request to a method of a peer and waits for its response, which
// it stores into response, a pointer to a struct. It never sends a request
// twice: it tries again only if no byte of it was sent. It blocks until the
// response, the end of ctx or the loss of the connection. Its errors are of type
// *Error (use errors.As).
func (c *Client) Call(ctx context.Context, to netip.AddrPort, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	failure := c.call(ctx, to, method, request, response)
	for range maxUnsentRetries {
		if failure == nil || failure.Sent || !errors.Is(failure.Err, ErrLost) {
			break
		}
		// The pooled connection had just ended; nothing was sent on it.
		failure = c.call(ctx, to, method, request, response)
	}
	c.metrics.calls.WithLabelValues(method, resultLabel(failure)).Inc()
	if failure == nil {
		return nil
	}
	failure.Peer, failure.Method = to, method
	failure.NotExecuted = failure.NotExecuted || !failure.Sent
	return wrap(failure)
}

func resultLabel(failure *Error) string {
	if failure == nil {
		return "answered"
	}
	return string(failure.Step)
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, method string, request, response any) *Error {
	conn, err := c.acquire(to)
	if err != nil {
		return &Error{Step: StepDial, Err: err}
	}
	defer c.activeCalls.Done()
	select {
	case <-conn.ready:
	case <-ctx.Done():
		return &Error{Step: StepDial, Err: ctx.Err()}
	}
	if conn.dialErr != nil {
		return &Error{Step: conn.dialErr.Step, Err: conn.dialErr.Err}
	}
	failure := conn.call(ctx, method, request, response)
	if failure != nil && errors.Is(failure.Err, ErrLost) {
		c.remove(conn)
	}
	return failure
}

// link returns a usable connection or one that is being opened, and counts a
// running call.
func (c *Client) acquire(to netip.AddrPort) (*clientConn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	c.activeCalls.Add(1)
	c.nextIndex = (c.nextIndex + 1) % c.options.ConnectionsPerPeer
	key := poolKey{peer: to, index: c.nextIndex}
	if conn, ok := c.pool[key]; ok {
		return conn, nil
	}
	conn := newClientConn(c, key)
	c.pool[key] = conn
	c.connGoroutines.Add(1)
	go conn.run()
	return conn, nil
}

// forget removes a link that takes no more calls, so that the next call opens
// a new one.
func (c *Client) remove(conn *clientConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pool[conn.key] == conn {
		delete(c.pool, conn.key)
	}
}

// Close refuses new calls, waits until the running ones have ended, and closes
// all connections.
func (c *Client) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.activeCalls.Wait()
	c.cancelDials()
	c.mutex.Lock()
	for _, conn := range c.pool {
		conn.close()
	}
	c.mutex.Unlock()
	c.connGoroutines.Wait()
	return nil
}

func (c *Client) dial(to netip.AddrPort) (net.Conn, *Error) {
	ctx, cancel := context.WithTimeout(c.dialCtx, c.options.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	netConn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, &Error{Step: StepDial, Err: err}
	}
	deadline, _ := ctx.Deadline()
	_ = netConn.SetDeadline(deadline)
	err = writeGreeting(netConn)
	if err == nil {
		err = readGreeting(netConn)
	}
	if err != nil {
		_ = netConn.Close()
		return nil, &Error{Step: StepHandshake, Err: err}
	}
	_ = netConn.SetDeadline(time.Time{})
	return netConn, nil
}
