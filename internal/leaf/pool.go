package leaf

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// pool keeps a fixed number of connections to one leaf. It redials lost connections in the
// background.
type pool struct {
	address   netip.AddrPort
	config    Config
	transport *http.Transport
	metrics   *metrics
	// clientCtx ends when the client is closed. All connections are then closed immediately.
	clientCtx context.Context
	// ctx ends when Client.Forget removes the pool. Each connection is then closed when its calls
	// have ended.
	ctx        context.Context
	stop       context.CancelFunc
	goroutines *sync.WaitGroup

	mutex sync.Mutex
	// open lists the connections that accept new requests.
	open []*connection
	// dialErr is the error of the last dial; nil if it succeeded.
	dialErr error
	// changed is closed and replaced when open or dialErr changes.
	changed chan struct{}
}

func newPool(clientCtx context.Context, address netip.AddrPort, client *Client) *pool {
	p := &pool{
		address:    address,
		config:     client.config,
		transport:  client.transport,
		metrics:    client.metrics,
		clientCtx:  clientCtx,
		goroutines: &client.goroutines,
		changed:    make(chan struct{}),
	}
	p.ctx, p.stop = context.WithCancel(clientCtx)
	for range client.config.ConnectionsPerLeaf {
		p.goroutines.Go(p.maintain)
	}
	return p
}

// maintain keeps one connection open until the pool is removed.
func (p *pool) maintain() {
	backoff := p.config.RedialMinimum
	for p.ctx.Err() == nil {
		conn, err := p.dial()
		if err != nil {
			p.update(func() { p.dialErr = err })
			p.sleep(backoff)
			backoff = min(2*backoff, p.config.RedialMaximum)
			continue
		}
		opened := time.Now()
		p.add(conn)
		conn.waitUnusable(p.ctx)
		p.remove(conn)
		p.goroutines.Go(func() { p.closeWhenIdle(conn) })
		if time.Since(opened) >= p.config.RedialMaximum {
			backoff = p.config.RedialMinimum
			continue
		}
		// The backoff also applies after a short-lived connection, so that a leaf that accepts
		// connections and closes them immediately is not redialed in a tight loop.
		p.sleep(backoff)
		backoff = min(2*backoff, p.config.RedialMaximum)
	}
}

func (p *pool) dial() (*connection, error) {
	ctx, cancel := context.WithTimeout(p.ctx, p.config.ConnectTimeout)
	defer cancel()
	conn, err := dial(ctx, p.transport, p.address)
	p.metrics.recordDial(err)
	return conn, err
}

func (p *pool) add(c *connection) {
	p.metrics.connections.Inc()
	p.update(func() {
		p.open = append(p.open, c)
		p.dialErr = nil
	})
}

func (p *pool) remove(c *connection) {
	p.update(func() {
		p.open = slices.DeleteFunc(slices.Clone(p.open), func(other *connection) bool { return other == c })
	})
}

func (p *pool) closeWhenIdle(c *connection) {
	defer p.metrics.connections.Dec()
	c.closeWhenIdle(p.clientCtx)
}

// update applies a change to open or dialErr and wakes up the waiting calls.
func (p *pool) update(change func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

// sleep blocks for the given duration or until the pool is removed.
func (p *pool) sleep(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// acquire returns the open connection with the fewest active calls. The caller must release it. If
// no connection is usable and no dial has failed, acquire waits for at most Config.ConnectWait.
func (p *pool) acquire(ctx context.Context) (*connection, error) {
	if c, _, _ := p.tryAcquire(); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.ConnectWait)
	defer cancel()
	for {
		c, changed, dialErr := p.tryAcquire()
		switch {
		case c != nil:
			return c, nil
		case dialErr != nil:
			return nil, fmt.Errorf("%w: %w", ErrNoConnection, dialErr)
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
			return nil, ErrClosed
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrNoConnection, ctx.Err())
		}
	}
}

// tryAcquire acquires the usable connection with the fewest active calls, or returns nil if there
// is none. It holds the mutex during the search and the acquisition, so that no call can acquire a
// connection that was removed from the pool.
func (p *pool) tryAcquire() (best *connection, changed <-chan struct{}, dialErr error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fewest := int64(0)
	for _, c := range p.open {
		if !c.usable() {
			continue
		}
		if calls := c.activeCalls.Load(); best == nil || calls < fewest {
			best, fewest = c, calls
		}
	}
	if best != nil {
		best.acquire()
	}
	return best, p.changed, p.dialErr
}
