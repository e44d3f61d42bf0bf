package leaf

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Client calls leaves over a small pool of connections to each. It is safe
// for concurrent use.
//
// A call is one attempt: neither the client nor net/http sends a request a
// second time.
type Client struct {
	config    Config
	transport *http.Transport
	metrics   *metrics
	ctx       context.Context
	cancel    context.CancelFunc

	// running counts the goroutines of all pools.
	goroutines sync.WaitGroup

	mutex sync.Mutex
	pools map[netip.AddrPort]*pool
}

// New returns a client. It registers its metrics with the registerer, which
// may be nil. The caller has to Close the client.
func New(config Config, registerer prometheus.Registerer) *Client {
	config = config.withDefaults()
	closing, cut := context.WithCancel(context.Background())
	return &Client{
		config:    config,
		transport: newTransport(config),
		metrics:   newMetrics(registerer),
		ctx:       closing,
		cancel:    cut,
		pools:     make(map[netip.AddrPort]*pool),
	}
}

// Execute sends one attempt and blocks until its reply has been checked or ctx
// is done, in which case the stream is reset so that the leaf stops. Errors
// are of type *TransportError. If the leaf announced on the connection that it
// is going away, the Load.State of the response is StateDraining.
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
	goingAway, err := c.call(ctx, address, http.MethodPost, ExecutePath, body, response)
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

// Load asks a leaf for its report, and blocks until it has come or ctx is
// done. Errors are of type *TransportError.
func (c *Client) Load(ctx context.Context, address netip.AddrPort) (*LoadReport, error) {
	report := new(LoadReport)
	goingAway, err := c.call(ctx, address, http.MethodGet, LoadPath, nil, report)
	if err != nil {
		return nil, err
	}
	if goingAway {
		report.State = StateDraining
	}
	return report, nil
}

// Forget closes the connections to a leaf as soon as their requests have
// ended. A later call opens new ones.
func (c *Client) Forget(address netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p, ok := c.pools[address]; ok {
		delete(c.pools, address)
		p.stop()
	}
}

// Close cuts all connections and blocks until the client's goroutines have
// ended. Calls in progress fail.
func (c *Client) Close() {
	c.mutex.Lock()
	c.cancel()
	c.pools = make(map[netip.AddrPort]*pool)
	c.mutex.Unlock()
	c.goroutines.Wait()
}

// pool returns nil if the client is closed.
func (c *Client) poolFor(address netip.AddrPort) *pool {
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
