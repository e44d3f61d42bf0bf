// Package store is the client of the configuration store: the published etcd
// v3 HTTP/JSON gateway, over net/http.
//
// No call is ever repeated by this package once a byte of it may have left.
// Each failure says whether the call may have taken effect (Error.MaybeApplied),
// so that the caller can settle it by reading back.
//
// It owns the connections to the store, the rate of calls and the choice of an
// endpoint. What the keys mean is known to package dissemination alone.
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
	// keepAlivePeriod is the time between TCP keep-alives.
	// Not measured: chosen because a dead connection is found without a call then.
	keepAlivePeriod = 10 * time.Second
	// idleConnectionTimeout is how long a connection without calls is kept.
	// Not measured: chosen because it is longer than a node without another source
	// waits between reads (dissemination.Config.StoreBackoff).
	idleConnectionTimeout = 30 * time.Second
	// idleConnectionsPerHost is how many such connections are kept for each
	// endpoint.
	// Not measured: chosen because few calls of a node run at a time.
	idleConnectionsPerHost = 8
	// maximumResponseBytes bounds the response of one call other than a watch.
	// Not measured: chosen because it bounds the memory of a call.
	maximumResponseBytes = 64 << 20
)

// Config says where the store is and how hard it may be asked.
type Config struct {
	// Endpoints are IP addresses with ports. They belong to one store; a call
	// moves on to the next one only if it certainly did not reach the first.
	Endpoints []netip.AddrPort
	// Timeout bounds each call, other than a watch once it is open.
	Timeout time.Duration
	// Rate bounds the calls a second of this client, in bursts of at most
	// Burst. A zero rate means no limit.
	Rate  float64
	Burst int
}

// DefaultConfig returns a Config without endpoints.
func DefaultConfig() Config {
	return Config{Timeout: 2 * time.Second, Rate: 50, Burst: 25}
}

// Client calls the store. It is safe for concurrent use.
type Client struct {
	config            Config
	http              *http.Client
	limiter           *rate.Limiter
	metrics           *metrics
	preferredEndpoint atomic.Uint32
}

// New returns a client and registers its metrics. It opens no connection.
func New(config Config, registerer prometheus.Registerer) (*Client, error) {
	if len(config.Endpoints) == 0 {
		return nil, oops.In("store").Errorf("the store has no endpoints")
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

// Close gives the idle connections back. Calls in flight go on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// wait takes a token of the client's own limiter.
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

// avoid makes later calls start with another endpoint than the failed one.
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
