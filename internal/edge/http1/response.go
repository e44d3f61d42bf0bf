package http1

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/micaplank/micaplank/internal/decide/leafanswer"
	"github.com/micaplank/micaplank/internal/readbody"
)

// receiveResponse reads the next final response. It returns how long the connection may be idle
// afterwards, or zero if the connection must not be reused.
func (c *connection) receiveResponse(method string) (*Response, time.Duration, error) {
	request := &http.Request{Method: method} // parsing a response needs only the method
	c.inflow.begin()
	defer c.inflow.end()
	for {
		received, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, 0, err
		}
		if !leafanswer.IsStatus(received.StatusCode) {
			return nil, 0, errInvalidStatus
		}
		if received.StatusCode < http.StatusOK {
			continue // an interim response
		}
		c.inflow.beginBody()
		body, err := readBody(received, c.pool.client.config.BodyBytes)
		if err != nil {
			return nil, 0, err
		}
		response := &Response{
			Status: received.StatusCode, Reason: received.Status, Header: received.Header, Body: body,
			Framing: framingOf(received), Behind: c.peekBehind(),
		}
		return response, c.idleTimeout(received), nil
	}
}

// framingOf returns how the end of a response's body is known.
func framingOf(received *http.Response) leafanswer.Framing {
	switch {
	case len(received.TransferEncoding) > 0:
		return leafanswer.FramedByChunks
	case received.ContentLength >= 0:
		return leafanswer.FramedByLength
	default:
		return leafanswer.FramedByClose
	}
}

// peekBehind returns the first bytes that have arrived behind a response, without consuming them.
func (c *connection) peekBehind() []byte {
	if buffered := c.reader.Buffered(); buffered > 0 {
		behind, _ := c.reader.Peek(min(buffered, leafanswer.MaxBehind)) // does not read, so it cannot fail
		return slices.Clone(behind)
	}
	behind := make([]byte, leafanswer.MaxBehind)
	count, _ := c.peekSocket(behind) // the next read reports an error
	return behind[:count]
}

// readBody reads the complete body of a response, of at most limit bytes.
func readBody(received *http.Response, limit int64) ([]byte, error) {
	if received.Body == http.NoBody {
		return nil, nil // also after HEAD, whatever the Content-Length
	}
	if received.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if received.ContentLength >= 0 {
		return readbody.All(received.Body, received.ContentLength)
	}
	body, err := readbody.All(io.LimitReader(received.Body, limit+1), -1)
	if err == nil && int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, err
}

// idleTimeout returns how long the connection may be idle after a response, or zero if it must not
// be reused.
func (c *connection) idleTimeout(received *http.Response) time.Duration {
	if received.Close || framingOf(received) == leafanswer.FramedByClose {
		return 0
	}
	idle := c.pool.idleTimeout()
	if keepAlive, ok := parseKeepAlive(received.Header.Get("Keep-Alive")); ok {
		idle = min(idle, keepAlive-keepAliveMargin)
	}
	return max(idle, 0)
}

// keepAliveMargin is how much earlier than the back end the client closes an idle connection. It is
// a few times the transit time of a request, so that no request is sent to a connection that the
// back end is about to close.
const keepAliveMargin = 500 * time.Millisecond

// parseKeepAlive returns the timeout of a Keep-Alive header.
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
