package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
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
	// Body is the complete body.
	Body []byte
	// AtMostOnce is set if the request may run at most once. It is then not sent on a connection
	// that the back end has closed; this check costs a system call.
	AtMostOnce bool
}

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
