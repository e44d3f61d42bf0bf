package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// Message is a request as it is sent. What several requests have in common is
// written once and shared: nothing here is changed by a Client.
type Message struct {
	// Method decides whether an answer has a body.
	Method string
	// Head is the request line and the header lines, each with its end, without
	// the empty line; see WriteHead.
	Head []byte
	// Own holds header lines of this request alone.
	Own []byte
	// Body is the whole body.
	Body []byte
	// Once is set if the request may run at most once: it is then not sent on a
	// connection that the back end has closed, which costs a system call to see.
	Once bool
}

// framing lists the headers that a Client writes itself.
var framingHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true,
}

// WriteHead returns the head of a request. The target is the path with the
// query, or a whole URL. Headers named in omitted are left out.
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

// AppendHeader appends a header line.
func AppendHeader(lines []byte, name, value string) []byte {
	lines = append(lines, name...)
	lines = append(lines, ": "...)
	lines = append(lines, value...)
	return append(lines, "\r\n"...)
}

// lengthHeaderSpace is room for the line with the length of the body, in bytes.
const contentLengthBytes = 40

// bytes returns the whole request.
func (m *Message) encode() []byte {
	content := make([]byte, 0, len(m.Head)+len(m.Own)+len(m.Body)+contentLengthBytes)
	content = append(content, m.Head...)
	content = append(content, m.Own...)
	if len(m.Body) > 0 || m.needsContentLength() {
		content = AppendHeader(content, "Content-Length", strconv.Itoa(len(m.Body)))
	}
	content = append(content, "\r\n"...)
	return append(content, m.Body...)
}

// usuallyHasBody reports whether the length is sent also where there is no body.
func (m *Message) needsContentLength() bool {
	switch m.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}
