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
	waiters   []chan struct{} // each receives one value and may then retry
	closed    bool
	maxIdle   int // maximum number of idle connections
}

func newPool(client *Client, target Target) *pool {
	return &pool{client: client, target: target, maxIdle: client.config.ConnectionsPerTarget}
}

// setMaxIdle sets how many connections may be idle, and closes surplus idle connections.
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

// limit returns the maximum number of open connections.
func (p *pool) limit() int {
	return min(max(p.maxIdle, 1), p.client.config.ConnectionsPerTarget)
}

// idleTimeout returns how long a connection may be idle.
func (p *pool) idleTimeout() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.maxIdle == 0 {
		return 0
	}
	return p.client.config.IdleTimeout
}

// acquire returns a connection for exclusive use that may carry the message. It opens one if none is
// idle and the limit allows it, and otherwise waits. For a request that may run at most once, it
// checks that the connection is still open.
func (p *pool) acquire(ctx context.Context, message *Message) (*connection, error) {
	for {
		claimed, wait, mayOpen := p.claimOrWait(message)
		switch {
		case claimed != nil && !claimed.mayCarry(message):
			p.client.metrics.replaced.Inc()
			claimed.close()
			continue
		case claimed != nil && message.AtMostOnce && !claimed.hasNoPendingInput():
			claimed.close()
			continue
		case claimed != nil:
			return claimed, nil
		case mayOpen:
			return p.dial(ctx)
		}
		if err := p.await(ctx, wait, message); err != nil {
			p.cancelWait(wait)
			return nil, err
		}
	}
}

// await blocks until a waiter is woken. It returns an error if ctx ends or the request must not be
// sent any more.
func (p *pool) await(ctx context.Context, wait <-chan struct{}, message *Message) error {
	p.client.metrics.waiting.Inc()
	defer p.client.metrics.waiting.Dec()
	var tooLate <-chan time.Time
	if !message.SendBy.IsZero() {
		timer := time.NewTimer(time.Until(message.SendBy))
		defer timer.Stop()
		tooLate = timer.C
	}
	select {
	case <-wait:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-message.Withdrawn:
	case <-tooLate:
	}
	return message.withdrawalReason()
}

// claimOrWait claims an idle connection that may carry the message. If there is none, it allows the
// caller to open one. If the limit does not allow that, it claims any idle connection, which the
// caller has to close, or enqueues a waiter.
func (p *pool) claimOrWait(message *Message) (claimed *connection, wait chan struct{}, mayOpen bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if claimed = p.claimIdle(func(candidate *connection) bool { return candidate.mayCarry(message) }); claimed != nil {
		return claimed, nil, false
	}
	if p.openCount < p.limit() {
		p.openCount++
		return nil, nil, true
	}
	if claimed = p.claimIdle(func(*connection) bool { return true }); claimed != nil {
		return claimed, nil, false
	}
	wait = make(chan struct{}, 1)
	p.waiters = append(p.waiters, wait)
	return nil, wait, false
}

// claimIdle claims the idle connection that was used last among those that fit, or returns nil. The
// caller holds the mutex.
func (p *pool) claimIdle(fits func(*connection) bool) *connection {
	for index := len(p.idle) - 1; index >= 0; index-- {
		candidate := p.idle[index]
		if !fits(candidate) {
			continue
		}
		p.idle = slices.Delete(p.idle, index, index+1)
		if candidate.claim() {
			return candidate
		}
	}
	return nil
}

// cancelWait removes a waiter. If the waiter was already woken, the next one is woken instead.
func (p *pool) cancelWait(wait chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if index := slices.Index(p.waiters, wait); index >= 0 {
		p.waiters = slices.Delete(p.waiters, index, index+1)
		return
	}
	p.wakeNext()
}

// wakeNext wakes the first waiter, which may then retry.
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

// putIdle adds an idle connection and reports whether the pool keeps it.
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

// remove removes a connection from the count; nil stands for a connection that was never opened.
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
