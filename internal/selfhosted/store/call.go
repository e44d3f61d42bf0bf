package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
)

// call posts a request, decodes the response and records the metrics of the call.
func (c *Client) call(ctx context.Context, step Step, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	start := time.Now()
	err := c.attempt(ctx, step, path, request, response)
	c.metrics.observe(step, err, time.Since(start))
	return err
}

func (c *Client) attempt(ctx context.Context, step Step, path string, request, response any) error {
	if err := c.waitForToken(ctx, step); err != nil {
		return wrapError(err.(*Error))
	}
	body, err := json.Marshal(request)
	if err != nil {
		return wrapError(&Error{Step: step, Kind: KindRefused, Cause: err})
	}
	reply, endpoint, failure := c.post(ctx, step, path, body)
	if failure != nil {
		return wrapError(failure)
	}
	defer reply.Body.Close()
	limitedBody := io.LimitReader(reply.Body, maximumResponseBytes)
	if err := json.NewDecoder(limitedBody).Decode(response); err != nil {
		return wrapError(responseError(ctx, step, endpoint, err))
	}
	discardRest(limitedBody)
	return nil
}

// discardRest reads the rest of a response, so that its connection can be reused.
func discardRest(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

// post sends the body to the first endpoint that can be reached, starting with the preferred one.
// It returns the response if its status is 200.
func (c *Client) post(ctx context.Context, step Step, path string, body []byte) (*http.Response, netip.AddrPort, *Error) {
	var failure *Error
	first := int(c.preferredEndpoint.Load())
	for attempt := range c.config.Endpoints {
		endpoint := c.config.Endpoints[(first+attempt)%len(c.config.Endpoints)]
		reply, err := c.postTo(ctx, step, endpoint, path, body)
		if err == nil {
			return reply, endpoint, nil
		}
		failure = err
		if failure.Kind != KindUnreachable || failure.MaybeApplied || ctx.Err() != nil {
			break
		}
	}
	return nil, netip.AddrPort{}, failure
}

func (c *Client) postTo(ctx context.Context, step Step, endpoint netip.AddrPort, path string, body []byte) (*http.Response, *Error) {
	tracker := &writeTracker{}
	request, err := newRequest(tracker.trace(ctx), endpoint, path, body)
	if err != nil {
		return nil, &Error{Step: step, Peer: endpoint.String(), Kind: KindRefused, Cause: err}
	}
	reply, err := c.http.Do(request)
	if err != nil {
		failure := transportError(ctx, step, endpoint, tracker.abort(), err)
		if failure.Kind != KindCanceled {
			c.avoidEndpoint(endpoint)
		}
		return nil, failure
	}
	if reply.StatusCode == http.StatusOK {
		return reply, nil
	}
	defer reply.Body.Close()
	failure := statusError(step, endpoint, reply)
	if failure.Kind == KindUnavailable {
		c.avoidEndpoint(endpoint)
	}
	return nil, failure
}

// newRequest returns a request that net/http cannot send twice. The request has a body but no
// GetBody, so neither a failed idle connection nor a redirect can replay it.
func newRequest(ctx context.Context, endpoint netip.AddrPort, path string, body []byte) (*http.Request, error) {
	url := "http://" + endpoint.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// transportError classifies a call that received no response header.
func transportError(ctx context.Context, step Step, endpoint netip.AddrPort, maybeSent bool, cause error) *Error {
	failure := &Error{Step: step, Peer: endpoint.String(), MaybeApplied: maybeSent, Cause: cause}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		failure.Kind = KindCanceled
	case ctx.Err() != nil:
		failure.Kind = KindTimeout
	case !maybeSent:
		failure.Kind = KindUnreachable
	case isTimeout(cause):
		failure.Kind = KindTimeout
	default:
		failure.Kind = KindReplyLost
	}
	return failure
}

// responseError classifies a call whose response was truncated or malformed.
func responseError(ctx context.Context, step Step, endpoint netip.AddrPort, cause error) *Error {
	failure := transportError(ctx, step, endpoint, true, cause)
	if failure.Kind == KindUnreachable {
		failure.Kind = KindReplyLost
	}
	return failure
}

// statusError classifies a response whose status is not 200.
func statusError(step Step, endpoint netip.AddrPort, reply *http.Response) *Error {
	failure := &Error{Step: step, Peer: endpoint.String(), RetryAfter: retryAfter(reply.Header)}
	content, _ := io.ReadAll(io.LimitReader(reply.Body, maximumErrorBytes))
	var body wire.ErrorBody
	decodeError := json.Unmarshal(content, &body)
	if decodeError != nil || body.Message == "" {
		body.Message = "HTTP status " + strconv.Itoa(reply.StatusCode)
	}
	if decodeError != nil || body.Code == wire.CodeOK {
		body.Code = codeFromStatus(reply.StatusCode)
	}
	failure.Kind, failure.MaybeApplied = classifyCode(body.Code, body.Message)
	failure.Cause = errors.New(body.Message)
	return failure
}

// maximumErrorBytes bounds the part of an error body that is read. The messages of the store are
// one line long.
const maximumErrorBytes = 64 << 10

// messageCompacted is the part of an error message that distinguishes a compacted revision from
// other errors with code OutOfRange.
const messageCompacted = "mvcc: required revision has been compacted"

// classifyCode returns the kind of a failure and whether the call may have taken effect. The store
// returns the codes Unavailable, DeadlineExceeded, Unknown and Internal also after it has proposed
// a write.
func classifyCode(code wire.Code, message string) (kind Kind, maybeApplied bool) {
	switch code {
	case wire.CodeResourceExhausted:
		return KindRateLimited, false
	case wire.CodeNotFound:
		return KindLeaseNotFound, false
	case wire.CodeOutOfRange:
		if strings.Contains(message, messageCompacted) {
			return KindCompacted, false
		}
		return KindRefused, false
	case wire.CodeInvalidArgument, wire.CodePermissionDenied, wire.CodeFailedPrecondition,
		wire.CodeUnimplemented, wire.CodeUnauthenticated:
		return KindRefused, false
	case wire.CodeCanceled:
		return KindCanceled, true
	default:
		return KindUnavailable, true
	}
}

// codeFromStatus returns the gRPC code for an HTTP status, for a response without a code.
func codeFromStatus(status int) wire.Code {
	switch status {
	case http.StatusTooManyRequests:
		return wire.CodeResourceExhausted
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return wire.CodeInvalidArgument
	case http.StatusUnauthorized:
		return wire.CodeUnauthenticated
	case http.StatusForbidden:
		return wire.CodePermissionDenied
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return wire.CodeUnimplemented
	default:
		return wire.CodeUnavailable
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
