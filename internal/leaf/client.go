package leaf

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Client calls leaves. It keeps a small pool of connections to each leaf. It is safe for concurrent
// use.
//
// The client does not retry, and it prevents net/http from retrying: each call sends its request at
// most once.
type Client struct {
	config    Config
	transport *http.Transport
	metrics   *metrics
	ctx       context.Context
	cancel    context.CancelFunc

	// goroutines counts the goroutines of all pools.
	goroutines sync.WaitGroup

	mutex sync.Mutex
	pools map[netip.AddrPort]*pool
}

// New returns a client and registers its metrics with the registerer, which may be nil. The caller
// must call Close.
func New(config Config, registerer prometheus.Registerer) *Client {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		config:    config,
		transport: newTransport(config),
		metrics:   newMetrics(registerer),
		ctx:       ctx,
		cancel:    cancel,
		pools:     make(map[netip.AddrPort]*pool),
	}
}

// Execute sends one attempt and blocks until its reply has been verified or ctx is done. It sends
// nothing after the remaining time of the request has passed; a request without remaining time is
// left to the leaf to refuse. If ctx is done first, Execute resets the stream so that the leaf can
// stop the work. Errors are of type *TransportError. If the leaf sent a GOAWAY frame on the
// connection, Load.State of the response is StateDraining.
func (c *Client) Execute(ctx context.Context, address netip.AddrPort, request ExecuteRequest) (*ExecuteResponse, error) {
	response, err := c.execute(ctx, address, &request)
	c.metrics.recordAttempt(response, err, ctx.Err() != nil)
	return response, err
}

func (c *Client) execute(ctx context.Context, address netip.AddrPort, request *ExecuteRequest) (*ExecuteResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, newTransportError(StepSend, address, false, err)
	}
	response := new(ExecuteResponse)
	goingAway, err := c.call(ctx, address, newExecuteMessage(request.RemainingMilliseconds, body), response)
	if err != nil {
		return nil, err
	}
	if err := verifyReply(request, response); err != nil {
		return nil, newTransportError(StepVerify, address, true, err)
	}
	if goingAway {
		response.Load.State = StateDraining
	}
	return response, nil
}

// Load requests the load report of a leaf and blocks until it is received or ctx is done. Errors
// are of type *TransportError.
func (c *Client) Load(ctx context.Context, address netip.AddrPort) (*LoadReport, error) {
	report := new(LoadReport)
	goingAway, err := c.call(ctx, address, message{method: http.MethodGet, path: LoadPath}, report)
	if err != nil {
		return nil, err
	}
	if goingAway {
		report.State = StateDraining
	}
	return report, nil
}

// Forget removes the pool of a leaf and closes each of its connections when the calls on it have
// ended. A later call to the leaf creates a new pool.
func (c *Client) Forget(address netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p, ok := c.pools[address]; ok {
		delete(c.pools, address)
		p.stop()
	}
}

// Close closes all connections immediately and blocks until the client's goroutines have ended.
// Calls in progress fail.
func (c *Client) Close() {
	c.mutex.Lock()
	c.cancel()
	c.pools = make(map[netip.AddrPort]*pool)
	c.mutex.Unlock()
	c.goroutines.Wait()
}

// poolOrNil returns the pool of a leaf and creates it if necessary. It returns nil if the client is
// closed.
func (c *Client) poolOrNil(address netip.AddrPort) *pool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ctx.Err() != nil {
		return nil
	}
	p, ok := c.pools[address]
	if !ok {
		p = newPool(c.ctx, address, c)
		c.pools[address] = p
	}
	return p
}
