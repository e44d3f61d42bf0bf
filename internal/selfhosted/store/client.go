// Package store is a client of the configuration store. It uses the etcd v3 HTTP/JSON gateway over
// net/http.
//
// The package never repeats a call after any byte of it may have been sent. Each error states
// whether the call may have taken effect (Error.MaybeApplied); in that case the caller reads the
// keys to find out.
//
// The package manages the connections to the store, limits the rate of calls and selects an
// endpoint. Only package dissemination interprets the keys.
package store

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
	"golang.org/x/time/rate"
)

const (
	// keepAlivePeriod is the time between TCP keep-alives. They detect a dead connection while no
	// call uses it.
	keepAlivePeriod = 10 * time.Second
	// idleConnectionTimeout is how long an idle connection is kept. It exceeds the time between
	// reads of a node without another source (dissemination.Config.StoreBackoff).
	idleConnectionTimeout = 30 * time.Second
	// idleConnectionsPerHost is the maximum number of idle connections per endpoint. A node
	// performs few calls at the same time.
	idleConnectionsPerHost = 8
	// maximumResponseBytes bounds the response of a call other than a watch, and so the memory of a
	// call.
	maximumResponseBytes = 64 << 20
)

// Config holds the endpoints of the store and the limits of calls.
type Config struct {
	// Endpoints are the addresses of one store. A call tries the next endpoint only if no byte of
	// it reached the previous one.
	Endpoints []netip.AddrPort
	// Timeout is the maximum duration of a call. For a watch it bounds only the time until the
	// watch is open.
	Timeout time.Duration
	// Rate is the maximum number of calls per second of this client, in bursts of at most Burst.
	// Zero means no limit.
	Rate  float64
	Burst int
}

// DefaultConfig returns the default limits, without endpoints.
func DefaultConfig() Config {
	return Config{Timeout: 2 * time.Second, Rate: 50, Burst: 25}
}

// Client performs calls to the store. It is safe for concurrent use.
type Client struct {
	config            Config
	http              *http.Client
	limiter           *rate.Limiter
	metrics           *metrics
	preferredEndpoint atomic.Uint32
}

// NewClient returns a client and registers its metrics. It does not connect to the store.
func NewClient(config Config, registerer prometheus.Registerer) (*Client, error) {
	if len(config.Endpoints) == 0 {
		return nil, oops.In("store").Errorf("create client: config has no endpoints")
	}
	if config.Timeout <= 0 {
		config.Timeout = DefaultConfig().Timeout
	}
	limit := rate.Inf
	if config.Rate > 0 {
		limit = rate.Limit(config.Rate)
	}
	client := &Client{
		config:  config,
		limiter: rate.NewLimiter(limit, max(config.Burst, 1)),
		metrics: newMetrics(registerer),
	}
	client.http = &http.Client{
		Transport:     newTransport(config.Timeout),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return client, nil
}

func newTransport(timeout time.Duration) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         dialCounting(timeout),
		MaxIdleConnsPerHost: idleConnectionsPerHost,
		IdleConnTimeout:     idleConnectionTimeout,
		Protocols:           protocols,
		DisableCompression:  true,
	}
}

// Close closes the idle connections. Running calls continue.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// waitForToken waits until the rate limiter of the client admits a call.
func (c *Client) waitForToken(ctx context.Context, step Step) error {
	err := c.limiter.Wait(ctx)
	if err == nil {
		return nil
	}
	kind := KindRateLimited
	if errors.Is(err, context.Canceled) {
		kind = KindCanceled
	}
	return &Error{Step: step, Kind: kind, Cause: err}
}

// avoidEndpoint makes later calls start with the next endpoint if they would start with the failed
// one.
func (c *Client) avoidEndpoint(endpoint netip.AddrPort) {
	current := c.preferredEndpoint.Load()
	if c.config.Endpoints[int(current)%len(c.config.Endpoints)] == endpoint {
		c.preferredEndpoint.CompareAndSwap(current, (current+1)%uint32(len(c.config.Endpoints)))
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}
