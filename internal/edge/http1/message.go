package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Message is a request to be sent. Parts that several requests have in common are encoded once and
// shared, so a Client modifies none of the slices.
type Message struct {
	// Method determines whether the response has a body.
	Method string
	// Head holds the request line and the header lines, each with its line end, without the final
	// empty line; see WriteHead.
	Head []byte
	// ExtraHeaders holds additional header lines of this request only.
	ExtraHeaders []byte
	// Prepare, if not nil, returns ExtraHeaders as they are at the time of the send. It is called
	// directly before the send. An error means that the request must not be sent any more.
	Prepare func() (extraHeaders []byte, err error)
	// Withdrawn, if not nil, is closed when the request must not be sent any more. SendBy, if not
	// zero, is the time from which on it must not be sent any more. Both end the wait of a request
	// for a connection.
	Withdrawn <-chan struct{}
	SendBy    time.Time
	// Body is the complete body.
	Body []byte
	// ID is the ID by which a Matcher recognises the response; empty if it recognises none. A
	// connection that carried it a short time ago does not carry it again; see recentIDCount.
	ID string
	// History, if not nil, holds the connections that have carried earlier attempts of the request.
	// None of them carries this one.
	History *History
	// AtMostOnce is set if the request may run at most once. It is then not sent on a connection
	// that the back end has closed; this check costs a system call.
	AtMostOnce bool
}

// checkSend completes the message for the send. It returns an error if the request must not be sent
// any more: that of ctx, or a *withdrawnError.
func (m *Message) checkSend(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return m.prepare()
}

// prepare calls Prepare. An error is a *withdrawnError.
func (m *Message) prepare() error {
	if m.Prepare == nil {
		return nil
	}
	headers, err := m.Prepare()
	if err != nil {
		return &withdrawnError{cause: err}
	}
	m.ExtraHeaders = headers
	return nil
}

// withdrawalReason returns the error of a request that was withdrawn while it waited.
func (m *Message) withdrawalReason() error {
	if err := m.prepare(); err != nil {
		return err
	}
	return &withdrawnError{cause: errWithdrawn}
}

// errWithdrawn is the reason of a withdrawal for which Prepare gives none.
var errWithdrawn = errors.New("no connection became free in time")

// withdrawnError is the error of a request that must not be sent any more.
type withdrawnError struct{ cause error }

// Error implements error.
func (e *withdrawnError) Error() string { return "withdrawn before the send: " + e.cause.Error() }

// Unwrap returns the reason.
func (e *withdrawnError) Unwrap() error { return e.cause }

// framingHeaders lists the headers that a Client writes itself.
var framingHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true,
}

// WriteHead returns the head of a request. The target is the path with the query, or an absolute
// URL. The headers named in omitted are skipped.
func WriteHead(method, target, host string, header http.Header, omitted ...string) ([]byte, error) {
	if !strings.HasPrefix(target, "/") {
		parsed, err := url.ParseRequestURI(target)
		if err != nil {
			return nil, fmt.Errorf("request target: %w", err)
		}
		target = parsed.RequestURI()
	}
	excluded := framingHeaders
	if len(omitted) > 0 {
		excluded = make(map[string]bool, len(framingHeaders)+len(omitted))
		for name := range framingHeaders {
			excluded[name] = true
		}
		for _, name := range omitted {
			excluded[http.CanonicalHeaderKey(name)] = true
		}
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	err := header.WriteSubset(&head, excluded)
	return head.Bytes(), err
}

// AppendHeader appends a header line to lines.
func AppendHeader(lines []byte, name, value string) []byte {
	lines = append(lines, name...)
	lines = append(lines, ": "...)
	lines = append(lines, value...)
	return append(lines, "\r\n"...)
}

// contentLengthBytes is the space reserved for the Content-Length line.
const contentLengthBytes = 40

// encode returns the complete request.
func (m *Message) encode() []byte {
	content := make([]byte, 0, len(m.Head)+len(m.ExtraHeaders)+len(m.Body)+contentLengthBytes)
	content = append(content, m.Head...)
	content = append(content, m.ExtraHeaders...)
	if len(m.Body) > 0 || m.needsContentLength() {
		content = AppendHeader(content, "Content-Length", strconv.Itoa(len(m.Body)))
	}
	content = append(content, "\r\n"...)
	return append(content, m.Body...)
}

// needsContentLength reports whether Content-Length is sent even with an empty body.
func (m *Message) needsContentLength() bool {
	switch m.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}
