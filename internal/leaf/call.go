package leaf

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/rows"
)

// buffers recycles the buffers that replies are read into.
var replyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// largestRecycled is the largest buffer kept for the next reply, in bytes. Not measured:
// chosen so that one large reply does not stay in memory.
const maxPooledBuffer = 1 << 20

// call sends one request and decodes the reply into out. It reports whether
// the leaf has announced that it is going away. Errors are of type
// *TransportError.
func (c *Client) call(ctx context.Context, address netip.AddrPort, method, path string, content []byte, out any) (goingAway bool, err error) {
	p := c.poolFor(address)
	if p == nil {
		return false, newTransportError(StepConnect, address, false, ErrClosed)
	}
	conn, err := p.acquire(ctx)
	if err != nil {
		return false, newTransportError(StepConnect, address, false, err)
	}
	defer conn.release()
	body := &requestBody{content: content, check: func() error { return c.checkSend(ctx) }}
	if err := checkDeadline(ctx); err != nil {
		return false, newTransportError(StepSend, address, false, err)
	}
	response, err := conn.client.RoundTrip(newRequest(ctx, address, method, path, body))
	if err != nil {
		return false, classifySendError(address, body, err)
	}
	if err := c.readReply(response, out); err != nil {
		err.Peer = address
		return false, newTransportError(err.Step, address, true, err.Err)
	}
	return conn.netConn.goingAway.Load(), nil
}

// admit reports why a request with a body must not be sent now.
func (c *Client) checkSend(ctx context.Context) error {
	if err := checkDeadline(ctx); err != nil {
		return err
	}
	return c.config.Guard()
}

// onTime compares the deadline with the clock, because the context's timer
// runs late after a freeze.
func checkDeadline(ctx context.Context) error {
	if deadline, limited := ctx.Deadline(); limited && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

// newRequest builds the request by hand: http.NewRequest would set GetBody for
// some bodies, which allows net/http to send them again. For the same reason
// there is no Idempotency-Key header.
func newRequest(ctx context.Context, address netip.AddrPort, method, path string, body *requestBody) *http.Request {
	host := address.String()
	request := &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: host, Path: path},
		Host:   host,
		Header: make(http.Header, 1),
	}
	if len(body.content) > 0 {
		request.Body = body
		request.ContentLength = int64(len(body.content))
		request.Header.Set("Content-Type", "application/json")
	}
	return request.WithContext(ctx)
}

func classifySendError(address netip.AddrPort, body *requestBody, err error) *TransportError {
	if body.abandon() {
		return newTransportError(StepSend, address, false, err)
	}
	if proof := unprocessedError(err); proof != nil {
		return newTransportError(StepSend, address, false, proof)
	}
	return newTransportError(StepReceive, address, true, err)
}

// receive reads and decodes a reply.
func (c *Client) readReply(response *http.Response, out any) *TransportError {
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &TransportError{Step: StepReceive, Err: &StatusError{Status: response.StatusCode}}
	}
	buffer := replyBuffers.Get().(*bytes.Buffer)
	defer releaseBuffer(buffer)
	size, err := buffer.ReadFrom(io.LimitReader(response.Body, c.config.ReplyLimit+1))
	c.metrics.replyBytes.Add(float64(size))
	switch {
	case err != nil:
		return &TransportError{Step: StepReceive, Err: err}
	case size > c.config.ReplyLimit:
		return &TransportError{Step: StepReceive, Err: fmt.Errorf("%w: over %d bytes", ErrReplyTooLarge, c.config.ReplyLimit)}
	}
	if err := decode(buffer.Bytes(), out); err != nil {
		return &TransportError{Step: StepDecode, Err: fmt.Errorf("%w: %w", ErrMalformedReply, err)}
	}
	return nil
}

// decode reads the table of an ExecuteResponse apart from the rest.
func decode(body []byte, out any) error {
	response, hasTable := out.(*ExecuteResponse)
	if !hasTable {
		return json.Unmarshal(body, out)
	}
	table, rest, err := rows.ExtractTable(body, "table")
	if err != nil {
		return err
	}
	err = json.Unmarshal(rest, response)
	response.Table = table
	return err
}

func releaseBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBuffer {
		buffer.Reset()
		replyBuffers.Put(buffer)
	}
}
