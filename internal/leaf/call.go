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

// replyBuffers pools the buffers into which replies are read.
var replyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer is the largest capacity in bytes of a buffer that returns to replyBuffers, so
// that one large reply does not stay in memory.
const maxPooledBuffer = 1 << 20

// message is one request of the leaf protocol.
type message struct {
	method, path string
	content      []byte
	// sendBy is the time after which the content is not sent any more; zero for no bound beside the
	// context.
	sendBy time.Time
}

// newExecuteMessage returns the message of an attempt, which is not sent after the remaining time.
func newExecuteMessage(remainingMilliseconds int64, body []byte) message {
	created := message{method: http.MethodPost, path: ExecutePath, content: body}
	if remainingMilliseconds > 0 {
		created.sendBy = time.Now().Add(time.Duration(remainingMilliseconds) * time.Millisecond)
	}
	return created
}

// checkTime returns an error if the message must not be sent any more. It compares the times with
// the clock, because the timers of ctx fire late after the process was frozen.
func (m *message) checkTime(ctx context.Context) error {
	now := time.Now()
	if deadline, limited := ctx.Deadline(); limited && !now.Before(deadline) {
		return context.DeadlineExceeded
	}
	if !m.sendBy.IsZero() && !now.Before(m.sendBy) {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

// call sends one message and decodes its reply into out. It reports whether the leaf sent a GOAWAY
// frame on the connection. Errors are of type *TransportError.
func (c *Client) call(ctx context.Context, address netip.AddrPort, sent message, out any) (goingAway bool, err error) {
	p := c.poolOrNil(address)
	if p == nil {
		return false, newTransportError(StepConnect, address, false, ErrClosed)
	}
	conn, err := p.acquire(ctx)
	if err != nil {
		return false, newTransportError(StepConnect, address, false, err)
	}
	defer conn.release()
	body := &requestBody{content: sent.content, check: func() error { return c.checkSend(ctx, &sent) }}
	if err := sent.checkTime(ctx); err != nil {
		return false, newTransportError(StepSend, address, false, err)
	}
	response, err := conn.client.RoundTrip(newRequest(ctx, address, sent.method, sent.path, body))
	if err != nil {
		return false, classifySendError(address, body, err)
	}
	if err := c.readReply(response, out); err != nil {
		err.Peer = address
		return false, newTransportError(err.Step, address, true, err.Err)
	}
	return conn.netConn.goingAway.Load(), nil
}

// checkSend returns an error if a request with a body must not be sent now.
func (c *Client) checkSend(ctx context.Context, sent *message) error {
	if err := sent.checkTime(ctx); err != nil {
		return err
	}
	return c.config.Guard()
}

// newRequest creates a request that net/http never sends twice. It sets neither GetBody, which
// http.NewRequest sets for some types of bodies, nor an Idempotency-Key header: with either of them
// net/http may send the request again.
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

// classifySendError converts an error of RoundTrip to a TransportError. Sent is false if the body
// was not read, or if the leaf reported that it did not process the request.
func classifySendError(address netip.AddrPort, body *requestBody, err error) *TransportError {
	if body.abandon() {
		return newTransportError(StepSend, address, false, err)
	}
	if unprocessed := unprocessedError(err); unprocessed != nil {
		return newTransportError(StepSend, address, false, unprocessed)
	}
	return newTransportError(StepReceive, address, true, err)
}

// readReply reads a reply and decodes it into out.
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

// decode decodes a reply into out. It decodes the table of an ExecuteResponse separately, with
// rows.ExtractTable.
func decode(body []byte, out any) error {
	response, hasTable := out.(*ExecuteResponse)
	if !hasTable {
		return json.Unmarshal(body, out)
	}
	table, remainder, err := rows.ExtractTable(body, "table")
	if err != nil {
		return err
	}
	err = json.Unmarshal(remainder, response)
	response.Table = table
	return err
}

func releaseBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBuffer {
		buffer.Reset()
		replyBuffers.Put(buffer)
	}
}
