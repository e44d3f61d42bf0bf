package peer

import (
	"sync"
	"time"
)

// clientLink is one connection to a peer with the calls that run on it.
type clientConn struct {
	client *Client
	key    poolKey
	// ready is closed once the connection stands or has failed; link and
	// failure are set before and constant afterwards.
	ready   chan struct{}
	framed  *framedConn
	dialErr *Error

	mutex       sync.Mutex
	pending     map[uint64]*pendingCall // of calls without a response yet
	activeCalls int                     // that have not ended; some have their response
	lastCall    uint64
	lost        bool
	draining    bool // the peer is draining, or the link is idle: no new calls
	lastUsed    time.Time
	idleTimer   *time.Timer
	silence     silenceDetector
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

// run opens the connection and reads from it until it ends.
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
	close(c.ready)
	c.startIdleTimer(c.client.options.IdleTimeout)
	err := c.readFrames()
	c.client.remove(c)
	c.framed.close()
	c.framed.writerDone.Wait()
	c.failAll(err)
	metrics.connections.Dec()
}

// shut closes an established link. The client's dial context ends the others.
func (c *clientConn) close() {
	select {
	case <-c.ready:
		if c.framed != nil {
			c.framed.close()
		}
	default:
	}
}

// closeIfIdle closes the link if it has had no call for the idle timeout.
func (c *clientConn) closeIfIdle() {
	timeout := c.client.options.IdleTimeout
	c.mutex.Lock()
	rest := timeout - time.Since(c.lastUsed)
	idle := c.activeCalls == 0 && rest <= 0
	if idle {
		c.draining = true
	}
	c.mutex.Unlock()
	if idle {
		c.framed.close()
		return
	}
	c.startIdleTimer(max(rest, timeout/4))
}

func (c *clientConn) startIdleTimer(after time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.lost {
		c.idleTimer = time.AfterFunc(after, c.closeIfIdle)
	}
}

// closeIfSilent ends the connection if it has gone silent, by the wait of a call
// that has been given up: no other call on it would get an answer.
func (c *clientConn) closeIfSilent(begun time.Time) {
	c.mutex.Lock()
	silent := c.silence.callAbandoned(begun, time.Now())
	c.mutex.Unlock()
	if !silent {
		return
	}
	c.client.metrics.silentConnections.Inc()
	c.client.remove(c)
	c.framed.close()
}

// closeIfLeft closes the link once its last call has ended, if it takes no new
// ones: a peer that drains waits for that.
func (c *clientConn) closeIfDrained() {
	if c.draining && c.activeCalls == 0 {
		c.framed.close()
	}
}
