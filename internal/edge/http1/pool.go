package http1

import (
	"context"
	"slices"
	"sync"
	"time"
)

// pool holds the connections to one target.
type pool struct {
	client *Client
	target Target

	mutex   sync.Mutex
	idle    []*connection
	open    int             // idle, in use, or being opened
	waiters []chan struct{} // each receives once, and may try again then
	closed  bool
	maxIdle int // how many may be idle
}

func newPool(client *Client, target Target) *pool {
	return &pool{client: client, target: target, maxIdle: client.config.ConnectionsPerTarget}
}

// setMaxIdle changes how many connections may be idle; it closes those beyond.
func (p *pool) setMaxIdle(maxIdle int) {
	p.mutex.Lock()
	p.maxIdle = maxIdle
	surplus := p.idle[min(len(p.idle), maxIdle):]
	p.idle = slices.Clone(p.idle[:len(p.idle)-len(surplus)])
	p.mutex.Unlock()
	for _, candidate := range surplus {
		candidate.close()
	}
}

// limit returns how many connections there may be.
func (p *pool) limit() int {
	return min(max(p.maxIdle, 1), p.client.config.ConnectionsPerTarget)
}

// idleTime returns how long a connection may be idle.
func (p *pool) idleTime() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.maxIdle == 0 {
		return 0
	}
	return p.client.config.IdleTimeout
}

// acquire returns a connection that nobody else uses. It opens one if none is
// idle and there may be more, and otherwise waits. For a request that may run once
// it looks whether the connection is still open.
func (p *pool) acquire(ctx context.Context, once bool) (*connection, error) {
	for {
		found, wait, mayOpen := p.take()
		switch {
		case found != nil && once && !found.reusable():
			found.close()
			continue
		case found != nil:
			return found, nil
		case mayOpen:
			return p.connect(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			p.leave(wait)
			return nil, ctx.Err()
		}
	}
}

func (p *pool) take() (found *connection, wait chan struct{}, mayOpen bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		candidate := p.idle[last]
		p.idle = p.idle[:last]
		if candidate.claim() {
			return candidate, nil, false
		}
	}
	if p.open < p.limit() {
		p.open++
		return nil, nil, true
	}
	wait = make(chan struct{}, 1)
	p.waiters = append(p.waiters, wait)
	return nil, wait, false
}

// leave takes back a waiter; if it was woken already, the next one is.
func (p *pool) leave(wait chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if at := slices.Index(p.waiters, wait); at >= 0 {
		p.waiters = slices.Delete(p.waiters, at, at+1)
		return
	}
	p.wake()
}

// wake wakes the first waiter, which may try again.
func (p *pool) wake() {
	if len(p.waiters) > 0 {
		p.waiters[0] <- struct{}{}
		p.waiters = p.waiters[1:]
	}
}

func (p *pool) connect(ctx context.Context) (*connection, error) {
	dialed, err := p.client.dial(ctx, p.target)
	if err != nil {
		p.ended(nil)
		return nil, err
	}
	return newConnection(p, dialed), nil
}

// put takes back a connection, and reports whether it is kept.
func (p *pool) put(c *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return false
	}
	p.idle = append(p.idle, c)
	p.wake()
	return true
}

// ended takes a connection out of the count; nil is one that was never open.
func (p *pool) ended(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
	if at := slices.Index(p.idle, c); at >= 0 {
		p.idle = slices.Delete(p.idle, at, at+1)
	}
	p.wake()
}

func (p *pool) close() {
	p.mutex.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mutex.Unlock()
	for _, candidate := range idle {
		candidate.close()
	}
}
