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

// pool keeps a fixed number of connections to one leaf, each dialed again in
// the background when it is lost.
type pool struct {
	address   netip.AddrPort
	config    Config
	transport *http.Transport
	metrics   *metrics
	// closing is done when the client closes: connections are cut.
	clientCtx context.Context
	// serving is done when the pool is forgotten: connections finish.
	ctx        context.Context
	stop       context.CancelFunc
	goroutines *sync.WaitGroup

	mutex sync.Mutex
	// open lists the connections that take new requests.
	open []*connection
	// failure is the error of the last dial, if it failed.
	dialErr error
	// changed is closed and replaced when open or failure changes.
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

// maintain keeps one connection open until the pool is forgotten.
func (p *pool) maintain() {
	pause := p.config.RedialMinimum
	for p.ctx.Err() == nil {
		dialed, err := p.dial()
		if err != nil {
			p.update(func() { p.dialErr = err })
			p.sleep(pause)
			pause = min(2*pause, p.config.RedialMaximum)
			continue
		}
		opened := time.Now()
		p.add(dialed)
		dialed.waitUnusable(p.ctx)
		p.remove(dialed)
		p.goroutines.Go(func() { p.closeWhenIdle(dialed) })
		if time.Since(opened) >= p.config.RedialMaximum {
			pause = p.config.RedialMinimum
			continue
		}
		// A leaf that accepts and closes at once is not dialed in a loop.
		p.sleep(pause)
		pause = min(2*pause, p.config.RedialMaximum)
	}
}

func (p *pool) dial() (*connection, error) {
	ctx, cancel := context.WithTimeout(p.ctx, p.config.ConnectTimeout)
	defer cancel()
	dialed, err := dial(ctx, p.transport, p.address)
	p.metrics.recordDial(err)
	return dialed, err
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

func (p *pool) update(change func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pool) sleep(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// pick returns the open connection with the fewest calls, claimed for one more, which has
// to release it. While the first dials are under way it waits, at most Config.ConnectWait.
func (p *pool) acquire(ctx context.Context) (*connection, error) {
	if c, _, _ := p.tryAcquire(); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.ConnectWait)
	defer cancel()
	for {
		c, changed, failure := p.tryAcquire()
		switch {
		case c != nil:
			return c, nil
		case failure != nil:
			return nil, fmt.Errorf("%w: %w", ErrNoConnection, failure)
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

// look claims the open connection with the fewest calls; nil if none is usable. It holds
// the mutex, so that a connection which was removed is claimed by nobody.
func (p *pool) tryAcquire() (best *connection, changed <-chan struct{}, failure error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fewest := int64(0)
	for _, c := range p.open {
		if !c.usable() {
			continue
		}
		if claims := c.activeCalls.Load(); best == nil || claims < fewest {
			best, fewest = c, claims
		}
	}
	if best != nil {
		best.acquire()
	}
	return best, p.changed, p.dialErr
}
