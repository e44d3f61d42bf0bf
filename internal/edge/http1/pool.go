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

	mutex     sync.Mutex
	idle      []*connection
	openCount int             // idle, in use, or being opened
	waiters   []chan struct{} // each receives once, and may try again then
	closed    bool
	maxIdle   int // how many may be idle
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
func (p *pool) idleTimeout() time.Duration {
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
		claimed, wait, mayOpen := p.claimOrWait()
		switch {
		case claimed != nil && once && !claimed.hasNoPendingInput():
			claimed.close()
			continue
		case claimed != nil:
			return claimed, nil
		case mayOpen:
			return p.dial(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			p.cancelWait(wait)
			return nil, ctx.Err()
		}
	}
}

func (p *pool) claimOrWait() (claimed *connection, wait chan struct{}, mayOpen bool) {
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
	if p.openCount < p.limit() {
		p.openCount++
		return nil, nil, true
	}
	wait = make(chan struct{}, 1)
	p.waiters = append(p.waiters, wait)
	return nil, wait, false
}

// leave takes back a waiter; if it was woken already, the next one is.
func (p *pool) cancelWait(wait chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if index := slices.Index(p.waiters, wait); index >= 0 {
		p.waiters = slices.Delete(p.waiters, index, index+1)
		return
	}
	p.wakeNext()
}

// wake wakes the first waiter, which may try again.
func (p *pool) wakeNext() {
	if len(p.waiters) > 0 {
		p.waiters[0] <- struct{}{}
		p.waiters = p.waiters[1:]
	}
}

func (p *pool) dial(ctx context.Context) (*connection, error) {
	socket, err := p.client.dial(ctx, p.target)
	if err != nil {
		p.remove(nil)
		return nil, err
	}
	return newConnection(p, socket), nil
}

// put takes back a connection, and reports whether it is kept.
func (p *pool) putIdle(c *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return false
	}
	p.idle = append(p.idle, c)
	p.wakeNext()
	return true
}

// ended takes a connection out of the count; nil is one that was never open.
func (p *pool) remove(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.openCount--
	if index := slices.Index(p.idle, c); index >= 0 {
		p.idle = slices.Delete(p.idle, index, index+1)
	}
	p.wakeNext()
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
