package peer

import (
	"sync"
	"time"
)

// clientConn is one connection to a peer with its calls.
type clientConn struct {
	client *Client
	key    poolKey
	// ready is closed when the dial has ended. framed and dialErr are set before and do not change
	// afterwards.
	ready   chan struct{}
	framed  *framedConn
	dialErr *Error

	mutex   sync.Mutex
	pending map[uint64]*pendingCall // by call ID
	// activeCalls counts the calls that have not returned; some may have their response.
	activeCalls int
	lastCall    uint64
	lost        bool
	// draining is set if the connection accepts no new calls because the peer is draining or silent,
	// or because the connection is idle.
	draining  bool
	lastUsed  time.Time
	lastHeard time.Time // when the last frame or the greeting of the peer arrived
	idleTimer *time.Timer
	silence   silenceDetector
}

func newClientConn(client *Client, key poolKey) *clientConn {
	return &clientConn{
		client:   client,
		key:      key,
		ready:    make(chan struct{}),
		pending:  map[uint64]*pendingCall{},
		lastUsed: time.Now(),
	}
}

// run opens the connection and reads from it until it is closed or lost.
func (c *clientConn) run() {
	defer c.client.connGoroutines.Done()
	netConn, failure := c.client.dial(c.key.peer)
	if failure != nil {
		c.dialErr = failure
		c.client.remove(c)
		close(c.ready)
		return
	}
	metrics := c.client.metrics
	sent := metrics.bytes.WithLabelValues("sent")
	received := metrics.bytes.WithLabelValues("received")
	c.framed = newFramedConn(netConn,
		func(bytes int) { sent.Add(float64(bytes)) },
		func(bytes int) { received.Add(float64(bytes)) })
	metrics.connections.Inc()
	c.markHeard()
	close(c.ready)
	if c.client.isStopped() {
		c.framed.close() // Client.Close may have seen the connection before it was ready
	}
	c.startIdleTimer(c.client.options.IdleTimeout)
	err := c.readFrames()
	c.client.remove(c)
	c.framed.close()
	c.framed.writerDone.Wait()
	c.failAll(err)
	metrics.connections.Dec()
}

// close closes the connection if it is established. A dial in progress ends with Client.dialCtx
// instead.
func (c *clientConn) close() {
	select {
	case <-c.ready:
		if c.framed != nil {
			c.framed.close()
		}
	default:
	}
}

// closeIfIdle closes the connection if it had no call for the idle timeout, and otherwise restarts
// the idle timer.
func (c *clientConn) closeIfIdle() {
	timeout := c.client.options.IdleTimeout
	c.mutex.Lock()
	remaining := timeout - time.Since(c.lastUsed)
	idle := c.activeCalls == 0 && remaining <= 0
	if idle {
		c.draining = true
	}
	c.mutex.Unlock()
	if idle {
		c.framed.close()
		return
	}
	c.startIdleTimer(max(remaining, timeout/4))
}

// startIdleTimer schedules closeIfIdle unless the connection is lost.
func (c *clientConn) startIdleTimer(after time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.lost {
		c.idleTimer = time.AfterFunc(after, c.closeIfIdle)
	}
}

// drainIfSilent records that a call was abandoned, and drains the connection if it counts as dead.
func (c *clientConn) drainIfSilent(startedAt time.Time) {
	c.mutex.Lock()
	silent := c.silence.callAbandoned(startedAt, time.Now())
	c.mutex.Unlock()
	if !silent {
		return
	}
	c.client.metrics.silentConnections.Inc()
	c.client.remove(c)
	c.drainSilent()
}

// drainSilent fails the calls that can be repeated, and closes the connection once no other call is
// left.
func (c *clientConn) drainSilent() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining = true
	for callID, pending := range c.pending {
		if pending.once {
			continue
		}
		delete(c.pending, callID)
		pending.complete(callResult{failure: &Error{Step: StepWait, Sent: true, Err: ErrConnectionLost}})
	}
	c.closeIfDrained()
}

// closeIfDrained closes the connection if it accepts no new calls and its last call has ended. A
// draining server waits for this. The caller holds the mutex.
func (c *clientConn) closeIfDrained() {
	if c.draining && c.activeCalls == 0 {
		c.framed.close()
	}
}
