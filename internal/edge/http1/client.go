// Package http1 is an HTTP/1.1 client for back ends that accept few connections, with exact control
// over what is sent.
//
// It sends every request at most once: unlike http.Transport it never retries a request. It bounds
// the connections to each target and reuses them. A connection is not reused after surplus bytes, a
// truncated body, a body without a length, or a cancelled request, and never for another attempt of
// a request that it has carried. A request that waits for a connection can be withdrawn. Errors
// state whether a byte of the request may have been sent.
//
// The package owns the connections of each target and their metrics. It relies on net for the
// connections, on net/http for parsing responses, and on leaf for the type of its errors.
package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/decide/leafanswer"
	"github.com/micaplank/micaplank/internal/leaf"
)

// The steps of an exchange, as named in errors.
const (
	StepConnect leaf.Step = "http1_connect"
	StepSend    leaf.Step = "http1_send"
	StepReceive leaf.Step = "http1_receive"
)

// Errors of exchanges.
var (
	errClosed           = errors.New("client is closed")
	errBodyTooLarge     = errors.New("response body exceeds the limit")
	errInvalidStatus    = errors.New("status of the response is none of the protocol")
	errResponseMismatch = errors.New("response belongs to another request")
)

// Target is one incarnation of a back end. A connection to one incarnation is never used for
// another.
type Target struct {
	Address netip.AddrPort
	// BootID identifies the incarnation: one start of the process.
	BootID string
}

// Config bounds the resources of a Client. All fields must be set.
type Config struct {
	// ConnectionsPerTarget is the maximum number of connections to one target.
	ConnectionsPerTarget int
	// DialTimeout is the longest time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed, unless the back end names a
	// shorter time.
	IdleTimeout time.Duration
	// HeadBytes is the maximum size of the head of a response, with the interim responses before it.
	HeadBytes int
	// BodyBytes is the maximum size of a response body.
	BodyBytes int64
	// ResponseBytes bounds what all connections together have received of responses that are not
	// complete. Beyond it, a response is given up that has more than a small share.
	ResponseBytes int64
	// MaxSkippedResponses is the number of responses to other requests that are skipped on a
	// connection before the awaited response.
	MaxSkippedResponses int
}

// DefaultConfig returns the bounds that seldom need to be changed. They only limit the cost of a
// faulty back end. The bounds that depend on the deployment are zero.
func DefaultConfig() Config {
	return Config{IdleTimeout: 20 * time.Second, HeadBytes: 64 << 10, BodyBytes: 16 << 20, ResponseBytes: 64 << 20, MaxSkippedResponses: 2}
}

// responseMemoryShare is the share of a machine's memory that responses may take which are not
// complete: an eighth.
const responseMemoryShare = 8

// LimitMemory bounds the responses by the memory of the machine in bytes; zero sets no bound.
func (c *Config) LimitMemory(memoryBytes int64) {
	if memoryBytes == 0 {
		return
	}
	c.ResponseBytes = memoryBytes / responseMemoryShare
	c.BodyBytes = min(c.BodyBytes, c.ResponseBytes/2)
}

// Response is a complete response.
type Response struct {
	Status int
	// Reason is the reason phrase of the status line.
	Reason string
	Header http.Header
	Body   []byte
	// Framing is how the end of the body was known.
	Framing leafanswer.Framing
	// Behind holds the first bytes that had arrived behind the response, leafanswer.MaxBehind at
	// most. They belong to no request.
	Behind []byte
	// Connection tells on which connection the response arrived.
	Connection leaf.ConnectionUse
}

// Matcher reports whether a response belongs to the request that was sent. After an error, which
// means that the response is not sound, the request has failed and its connection is closed.
type Matcher func(*Response) (bool, error)

// Client keeps connections to targets. It is safe for concurrent use.
type Client struct {
	config  Config
	metrics *metrics
	// held is what all connections have received of responses that are not complete, in bytes.
	held atomic.Int64

	mutex   sync.Mutex
	pools   map[Target]*pool
	maxIdle map[Target]int // see Retain
	closed  bool
}

// New returns a Client and registers its metrics.
func New(config Config, registerer prometheus.Registerer) *Client {
	return &Client{config: config, metrics: newMetrics(registerer), pools: make(map[Target]*pool)}
}

// Do sends a request once and blocks until the complete response has arrived. If ctx ends first,
// the connection is closed, unless the response has arrived and the connection may serve another
// request. An error is a *leaf.TransportError whose step is one of this package.
func (c *Client) Do(ctx context.Context, target Target, message Message, match Matcher) (*Response, error) {
	connection, err := c.acquire(ctx, target, &message)
	if err != nil {
		return nil, notSentError(StepConnect, target, err)
	}
	if err := message.checkSend(ctx); err != nil {
		connection.release()
		return nil, notSentError(StepSend, target, err)
	}
	exchange := &exchange{method: message.Method, match: match, done: make(chan result, 1)}
	if sent, err := connection.send(ctx, exchange, &message); err != nil {
		return nil, &leaf.TransportError{Step: StepSend, Peer: target.Address, Sent: sent, Connection: exchange.use, Err: err}
	}
	select {
	case outcome := <-exchange.done:
		return c.finish(target, outcome)
	case <-ctx.Done():
	}
	if connection.abandon(exchange) {
		return nil, &leaf.TransportError{Step: StepReceive, Peer: target.Address, Sent: true, Connection: exchange.use, Err: ctx.Err()}
	}
	return c.finish(target, <-exchange.done)
}

// finish returns the result of an exchange.
func (c *Client) finish(target Target, outcome result) (*Response, error) {
	if outcome.err != nil {
		c.metrics.brokenExchanges.Inc()
		return nil, &leaf.TransportError{
			Step: StepReceive, Peer: target.Address, Sent: true, Closed: outcome.closed, Connection: outcome.use, Err: outcome.err,
		}
	}
	return outcome.response, nil
}

func notSentError(step leaf.Step, target Target, err error) *leaf.TransportError {
	var withdrawn *withdrawnError
	return &leaf.TransportError{
		Step: step, Peer: target.Address, Sent: false, Err: err,
		Refused: errors.Is(err, syscall.ECONNREFUSED), Withdrawn: errors.As(err, &withdrawn),
	}
}

func (c *Client) acquire(ctx context.Context, target Target, message *Message) (*connection, error) {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil, errClosed
	}
	targetPool := c.getPool(target)
	c.mutex.Unlock()
	return targetPool.acquire(ctx, message)
}

// getPool returns the pool of a target and creates it if needed. The caller holds the mutex.
func (c *Client) getPool(target Target) *pool {
	targetPool, ok := c.pools[target]
	if !ok {
		targetPool = newPool(c, target)
		if maxIdle, ok := c.maxIdle[target]; ok {
			targetPool.setMaxIdle(maxIdle)
		}
		c.pools[target] = targetPool
	}
	return targetPool
}

// Retain closes the idle connections of all targets that are not in maxIdle and removes these
// targets. For each target, maxIdle holds the number of connections that may be idle. If it is
// zero, a connection is opened for each request and closed after it.
func (c *Client) Retain(maxIdle map[Target]int) {
	var dropped []*pool
	c.mutex.Lock()
	c.maxIdle = maxIdle
	for target, candidate := range c.pools {
		targetMaxIdle, ok := maxIdle[target]
		if ok {
			candidate.setMaxIdle(targetMaxIdle)
			continue
		}
		delete(c.pools, target)
		dropped = append(dropped, candidate)
	}
	c.mutex.Unlock()
	for _, candidate := range dropped {
		candidate.close()
	}
}

// Close closes the idle connections. Exchanges in progress continue and close their connections
// when they end.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.Retain(nil)
}

func (c *Client) dial(ctx context.Context, target Target) (net.Conn, error) {
	c.metrics.dials.Inc()
	dialer := net.Dialer{Timeout: c.config.DialTimeout, KeepAlive: -1}
	socket, err := dialer.DialContext(ctx, "tcp", target.Address.String())
	if err != nil {
		c.metrics.dialFailures.Inc()
		return nil, err
	}
	return socket, nil
}
