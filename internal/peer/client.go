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

// ClientOptions configures a Client. A field that is zero or negative takes its default.
type ClientOptions struct {
	// ConnectionsPerPeer is the number of connections that the calls to one peer share; 1 by
	// default.
	ConnectionsPerPeer int
	// DialTimeout is the timeout of a dial, including the handshake; 1 s by default.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection without calls is kept open; 60 s by default.
	IdleTimeout time.Duration
	// CallTimeout is the timeout of a call other than CallOnce, also if the deadline of its context
	// is later; 30 s by default.
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

// poolKey identifies one of the connections to a peer.
type poolKey struct {
	peer  netip.AddrPort
	index int
}

// Client calls peers over a connection pool. It is safe for concurrent use.
type Client struct {
	options     ClientOptions
	metrics     *callMetrics
	dialCtx     context.Context
	cancelDials context.CancelFunc

	mutex     sync.Mutex
	pool      map[poolKey]*clientConn
	nextIndex int
	closed    bool // no new calls
	stopped   bool // no call is active or will be

	activeCalls    sync.WaitGroup
	connGoroutines sync.WaitGroup
}

// NewClient returns a client without connections. Calls open connections when they need them.
func NewClient(options ClientOptions, registerer prometheus.Registerer) *Client {
	dialCtx, cancelDials := context.WithCancel(context.Background())
	return &Client{
		options:     options.withDefaults(),
		metrics:     newCallMetrics(registerer, clientSide),
		dialCtx:     dialCtx,
		cancelDials: cancelDials,
		pool:        map[poolKey]*clientConn{},
	}
}

// maxUnsentRetries is how often a call is retried on another connection if its connection is lost
// before any byte of the request is sent. It is small because each retry requires another
// connection that is lost at that moment.
const maxUnsentRetries = 3

// Call sends request to a method of a peer and stores the reply in response, a pointer to a struct.
// It blocks until the response arrives, ctx ends or the connection is lost. It sends a request at
// most once: it retries only if no byte of the request was sent. Errors wrap an *Error; use
// errors.As.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	return c.callWithRetries(ctx, to, callRequest{method: method, body: request}, response)
}

// CallOnce is Call for a request that the caller must not repeat. The request is sent only to a peer
// that responds (see confirmResponsive), and not after withdrawAt. If it has no response by then, it
// is withdrawn: the context of the peer's handler ends. CallOnce then waits on for the response until
// ctx ends, without the timeout of other calls, and also on a connection that counts as dead because
// the peer is silent. The peer may only be slow, and its response is the only proof of what it did.
func (c *Client) CallOnce(ctx context.Context, to netip.AddrPort, method string, request, response any, withdrawAt time.Time) error {
	return c.callWithRetries(ctx, to, callRequest{method: method, body: request, once: true, withdrawAt: withdrawAt}, response)
}

// callWithRetries performs a call, and repeats it while no byte of the request was sent.
func (c *Client) callWithRetries(ctx context.Context, to netip.AddrPort, request callRequest, response any) error {
	failure := c.call(ctx, to, request, response)
	for range maxUnsentRetries {
		if failure == nil || failure.Sent || !errors.Is(failure.Err, ErrConnectionLost) {
			break
		}
		// The pooled connection was lost before anything was sent on it.
		failure = c.call(ctx, to, request, response)
	}
	c.metrics.calls.WithLabelValues(request.method, resultLabel(failure)).Inc()
	if failure == nil {
		return nil
	}
	failure.Peer, failure.Method = to, request.method
	failure.NotExecuted = failure.NotExecuted || !failure.Sent
	return wrap(failure)
}

// resultLabel returns the value of the label "result" of the metric of calls.
func resultLabel(failure *Error) string {
	if failure == nil {
		return "answered"
	}
	return string(failure.Step)
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, request callRequest, response any) *Error {
	conn, err := c.acquire(to)
	if err != nil {
		return &Error{Step: StepDial, Err: err}
	}
	defer c.activeCalls.Done()
	sendCtx, cancel := request.sendContext(ctx)
	defer cancel()
	select {
	case <-conn.ready:
	case <-sendCtx.Done():
		return &Error{Step: StepDial, Err: sendCtx.Err()}
	}
	if conn.dialErr != nil {
		return &Error{Step: conn.dialErr.Step, Err: conn.dialErr.Err}
	}
	failure := conn.call(ctx, sendCtx, request, response)
	if failure != nil && errors.Is(failure.Err, ErrConnectionLost) {
		c.remove(conn)
	}
	return failure
}

// acquire returns a pooled connection, which may still be dialing, and counts one more active call.
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

// remove removes a connection that accepts no more calls from the pool, so that the next call opens
// a new one.
func (c *Client) remove(conn *clientConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pool[conn.key] == conn {
		delete(c.pool, conn.key)
	}
}

// Close rejects new calls, waits until the active calls have ended, and closes all connections.
func (c *Client) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.activeCalls.Wait()
	c.cancelDials()
	c.mutex.Lock()
	c.stopped = true
	for _, conn := range c.pool {
		conn.close()
	}
	c.mutex.Unlock()
	c.connGoroutines.Wait()
	return nil
}

// isStopped reports whether Close has closed the connections of the pool.
func (c *Client) isStopped() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stopped
}

// dial opens a connection to a peer and performs the handshake.
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
