package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// exchange is one request on a connection, until its answer.
type exchange struct {
	method string
	match  Matcher
	done   chan result
}

type result struct {
	response *Response
	err      error
	// closed is set if the other side ended the connection before a byte of the
	// answer.
	closed bool
}

// connection is one connection to a target. A goroutine reads it all the time,
// also while it is idle, so that its end and surplus bytes are seen before it
// is used again.
type connection struct {
	pool   *pool
	socket net.Conn
	reader *bufio.Reader

	mutex   sync.Mutex
	current *exchange
	busy    bool // in use, or about to be
	closed  bool
}

// newConnection returns a connection that is in use by the caller.
func newConnection(owner *pool, socket net.Conn) *connection {
	c := &connection{pool: owner, socket: socket, reader: bufio.NewReader(socket), busy: true}
	go c.readLoop()
	return c
}

// claim takes an idle connection into use, unless it has ended.
func (c *connection) claim() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return false
	}
	c.busy = true
	return true
}

// release gives back a connection on which nothing was sent.
func (c *connection) release() {
	idle := c.pool.idleTimeout()
	if idle == 0 || !c.markIdle(idle) {
		c.close()
	}
}

// start sends the bytes of a request. If it fails, it reports whether a byte
// can have left, and the connection is closed.
func (c *connection) send(ctx context.Context, next *exchange, content []byte) (sent bool, err error) {
	c.mutex.Lock()
	closed := c.closed
	if !closed {
		c.current = next
	}
	c.mutex.Unlock()
	if closed {
		return false, net.ErrClosed
	}
	_ = c.socket.SetReadDeadline(time.Time{}) // a closed socket shows in Write
	deadline, _ := ctx.Deadline()
	_ = c.socket.SetWriteDeadline(deadline)
	written, err := c.socket.Write(content)
	if err != nil {
		c.close()
		return written > 0, err
	}
	return true, nil
}

// read delivers answers until the connection is not to be used any more.
func (c *connection) readLoop() {
	defer c.close()
	for {
		_, err := c.reader.Peek(1)
		current, busy := c.currentExchange()
		if errors.Is(err, os.ErrDeadlineExceeded) && busy {
			continue // it was idle for long, and is in use again
		}
		if current == nil {
			return
		}
		if err != nil {
			current.done <- result{err: err, closed: closedByPeer(err)}
			return
		}
		if !c.handleResponse(current) {
			return
		}
	}
}

// endedByPeer reports whether a read failed because the other side closed or reset
// the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

func (c *connection) currentExchange() (*exchange, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.current, c.busy
}

// answer reads the answer to an exchange and delivers it. It reports whether
// the connection may be used again.
func (c *connection) handleResponse(current *exchange) bool {
	response, idle, err := c.receiveMatching(current)
	if err != nil {
		current.done <- result{err: err}
		return false
	}
	reusable := idle > 0 && c.reader.Buffered() == 0 && c.markIdle(idle)
	current.done <- result{response: response}
	return reusable
}

// receive reads the awaited answer. The duration is how long the connection
// may be idle then; zero if it must not be used again.
func (c *connection) receiveMatching(current *exchange) (*Response, time.Duration, error) {
	for skipped := 0; ; skipped++ {
		response, idle, err := c.receiveResponse(current.method)
		if err != nil {
			return nil, 0, err
		}
		if current.match(response) {
			if skipped > 0 {
				idle = 0
			}
			return response, idle, nil
		}
		if idle == 0 || skipped >= c.pool.client.config.MaxSkipped {
			return nil, 0, errResponseMismatch
		}
	}
}

func (c *connection) receiveResponse(method string) (*Response, time.Duration, error) {
	request := &http.Request{Method: method} // all that matters of it for its answer
	for {
		received, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, 0, err
		}
		if received.StatusCode >= 100 && received.StatusCode < 200 {
			continue // an interim answer
		}
		body, err := readBody(received, c.pool.client.config.BodyBytes)
		if err != nil {
			return nil, 0, err
		}
		response := &Response{Status: received.StatusCode, Header: received.Header, Body: body}
		return response, c.idleTimeout(received), nil
	}
}

// readBody reads the whole body of an answer, of at most limit bytes.
func readBody(received *http.Response, limit int64) ([]byte, error) {
	if received.Body == http.NoBody {
		return nil, nil // also after HEAD, whatever length is named
	}
	if received.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if received.ContentLength >= 0 {
		body := make([]byte, received.ContentLength)
		_, err := io.ReadFull(received.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(received.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, err
}

// idleTime returns how long the connection may be idle after an answer; zero if
// it must not be used again.
func (c *connection) idleTimeout(received *http.Response) time.Duration {
	framed := received.ContentLength >= 0 || len(received.TransferEncoding) > 0
	if received.Close || !framed {
		return 0
	}
	idle := c.pool.idleTimeout()
	if keepAlive, ok := parseKeepAlive(received.Header.Get("Keep-Alive")); ok {
		idle = min(idle, keepAlive-keepAliveMargin)
	}
	return max(idle, 0)
}

// keepAliveMargin is how long before the back end a connection is closed here. Not
// measured: chosen because it is a few times as long as a request is on the way.
const keepAliveMargin = 500 * time.Millisecond

// keepAlive returns the time of a Keep-Alive header.
func parseKeepAlive(value string) (time.Duration, bool) {
	for _, parameter := range strings.Split(value, ",") {
		name, number, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(number)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}

// rest makes the connection idle and reports whether the pool keeps it.
func (c *connection) markIdle(idle time.Duration) bool {
	_ = c.socket.SetReadDeadline(time.Now().Add(idle)) // a closed socket shows in Read
	c.mutex.Lock()
	c.current = nil
	c.busy = false
	c.mutex.Unlock()
	return c.pool.putIdle(c)
}

// close ends the connection; its end is counted once.
func (c *connection) close() {
	c.mutex.Lock()
	first := !c.closed
	c.closed = true
	c.mutex.Unlock()
	if first {
		_ = c.socket.Close() // nothing is left to be said on it
		c.pool.remove(c)
	}
}
