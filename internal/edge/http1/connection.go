package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// exchange is one request on a connection, until its response.
type exchange struct {
	method string
	match  Matcher
	done   chan result
	use    leaf.ConnectionUse // without Skipped
}

type result struct {
	response *Response
	err      error
	use      leaf.ConnectionUse // set with err
	// closed is set if the peer closed or reset the connection before the first byte of the
	// response.
	closed bool
}

// connection is one connection to a target. A goroutine reads it at all times, also while the
// connection is idle, so that a close by the peer and surplus bytes are noticed before the
// connection is reused.
type connection struct {
	pool   *pool
	socket net.Conn
	inflow *inflow
	reader *bufio.Reader // of inflow

	mutex   sync.Mutex
	ids     recentIDs // of Message.ID
	sent    int       // requests sent
	current *exchange
	busy    bool // in use, or claimed
	closed  bool
}

// newConnection returns a connection that is in use by the caller.
func newConnection(owner *pool, socket net.Conn) *connection {
	arriving := &inflow{socket: socket, client: owner.client}
	c := &connection{pool: owner, socket: socket, inflow: arriving, reader: bufio.NewReader(arriving), busy: true}
	go c.readLoop()
	return c
}

// mayCarry reports whether a response that the back end repeats could not be taken for the response
// to the message.
func (c *connection) mayCarry(message *Message) bool {
	c.mutex.Lock()
	repeated := c.ids.contains(message.ID)
	c.mutex.Unlock()
	return !repeated && !message.History.contains(c)
}

// claim marks an idle connection as in use. It returns false if the connection is closed.
func (c *connection) claim() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return false
	}
	c.busy = true
	return true
}

// release returns a connection on which nothing was sent to the pool.
func (c *connection) release() {
	idle := c.pool.idleTimeout()
	if idle == 0 || !c.markIdle(idle) {
		c.close()
	}
}

// send sends a request. On an error it closes the connection and reports whether a byte may have
// been sent.
func (c *connection) send(ctx context.Context, next *exchange, message *Message) (sent bool, err error) {
	message.History.add(c)
	c.mutex.Lock()
	closed := c.closed
	if !closed {
		c.current = next
		c.ids.add(message.ID)
		c.sent++
		next.use = leaf.ConnectionUse{LocalPort: localPort(c.socket), Request: c.sent}
	}
	c.mutex.Unlock()
	if closed {
		return false, net.ErrClosed
	}
	_ = c.socket.SetReadDeadline(time.Time{}) // Write reports a closed socket
	deadline, _ := ctx.Deadline()
	_ = c.socket.SetWriteDeadline(deadline)
	written, err := c.socket.Write(message.encode())
	if err != nil {
		c.close()
		return written > 0, err
	}
	return true, nil
}

// readLoop delivers responses until the connection can no longer be used.
func (c *connection) readLoop() {
	defer c.close()
	for {
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.closeIfIdle() {
			continue // the idle deadline expired, but the connection is in use again
		}
		current := c.currentExchange()
		if current == nil && !c.closeUnlessSent() {
			continue // a request was sent meanwhile, and what was read is handled as its response
		}
		if current == nil {
			if err == nil {
				c.pool.client.metrics.surplusResponses.WithLabelValues(surplusIdle).Inc()
			}
			return
		}
		if err != nil {
			current.done <- result{err: err, use: current.use, closed: closedByPeer(err)}
			return
		}
		if !c.handleResponse(current) {
			return
		}
	}
}

// localPort returns the port of a connection at this node, or zero if it has none.
func localPort(socket net.Conn) uint16 {
	address, ok := socket.LocalAddr().(*net.TCPAddr)
	if !ok {
		return 0
	}
	return address.AddrPort().Port()
}

// closedByPeer reports whether a read failed because the peer closed or reset the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

func (c *connection) currentExchange() *exchange {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.current
}

// handleResponse reads and delivers the response to an exchange. It reports whether the connection
// may be reused.
func (c *connection) handleResponse(current *exchange) bool {
	response, idle, err := c.receiveMatching(current)
	if bound := boundOf(err); bound != "" {
		c.pool.client.metrics.oversized.WithLabelValues(bound).Inc()
	}
	if err != nil {
		current.done <- result{err: err, use: current.use}
		return false
	}
	surplus := len(response.Behind) > 0
	if surplus {
		c.pool.client.metrics.surplusResponses.WithLabelValues(surplusBehind).Inc()
	}
	reusable := idle > 0 && !surplus && c.markIdle(idle)
	current.done <- result{response: response}
	return reusable
}

// receiveMatching reads the awaited response. It returns how long the connection may be idle
// afterwards, or zero if the connection must not be reused.
func (c *connection) receiveMatching(current *exchange) (*Response, time.Duration, error) {
	for skipped := 0; ; skipped++ {
		response, idle, err := c.receiveResponse(current.method)
		if err != nil {
			return nil, 0, err
		}
		awaited, err := current.match(response)
		if err != nil {
			return nil, 0, err
		}
		if awaited {
			if skipped > 0 {
				idle = 0
			}
			response.Connection = current.use
			response.Connection.Skipped = skipped
			return response, idle, nil
		}
		c.pool.client.metrics.surplusResponses.WithLabelValues(surplusBefore).Inc()
		if idle == 0 || skipped >= c.pool.client.config.MaxSkippedResponses {
			return nil, 0, errResponseMismatch
		}
	}
}

// markIdle makes the connection idle and reports whether the pool keeps it.
func (c *connection) markIdle(idle time.Duration) bool {
	_ = c.socket.SetReadDeadline(time.Now().Add(idle)) // Read reports a closed socket
	c.mutex.Lock()
	c.current = nil
	c.busy = false
	c.mutex.Unlock()
	return c.pool.putIdle(c)
}

// close closes the connection.
func (c *connection) close() {
	c.closeWhen(func() bool { return true })
}

// abandon closes the connection if the exchange is in progress on it, and reports whether it was.
// Otherwise the response has arrived, and another request may use the connection.
func (c *connection) abandon(given *exchange) bool {
	return c.closeWhen(func() bool { return c.current == given })
}

// closeIfIdle closes the connection unless it is in use, and reports whether it was idle.
func (c *connection) closeIfIdle() bool {
	return c.closeWhen(func() bool { return !c.busy })
}

// closeUnlessSent closes the connection unless a request was sent on it that has no response, and
// reports whether it closed it. A request that has claimed it learns of that when it is sent.
func (c *connection) closeUnlessSent() bool {
	return c.closeWhen(func() bool { return c.current == nil })
}

// closeWhen closes the connection, and removes it from its pool once, if the condition holds. It
// reports whether the condition held. The condition is checked under the mutex, so that no request
// can claim the connection or send on it in between.
func (c *connection) closeWhen(condition func() bool) bool {
	c.mutex.Lock()
	holds := condition()
	first := holds && !c.closed
	if first {
		c.closed = true
	}
	c.mutex.Unlock()
	if first {
		_ = c.socket.Close() // nothing is pending that an error could affect
		c.pool.remove(c)
	}
	return holds
}
