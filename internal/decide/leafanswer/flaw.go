package leafanswer

import (
	"bytes"
	"slices"
	"strings"
)

// Framing is how the end of a body is known.
type Framing int

// The framings of a body.
const (
	FramedByLength Framing = iota // also if there is no body
	FramedByChunks
	FramedByClose // the body ends with its connection
)

// Received describes a response as it arrived.
type Received struct {
	// Reason is the reason phrase of the status line.
	Reason string
	Header map[string][]string
	// SingleValued lists the headers, in canonical form, that have one value at most, and whose value
	// never holds the name of the protocol.
	SingleValued []string
	Framing      Framing
	Body         []byte
	// Behind holds the first bytes that have arrived behind the body, if any.
	Behind []byte
	// IDHeader begins the line of the head in which each answer carries the ID of its request, as
	// in "Name:".
	IDHeader []byte
}

// Flaw is a sign that a response holds bytes of another one.
type Flaw string

// The flaws of a response.
const (
	FlawNone           Flaw = ""
	FlawHead           Flaw = "status line inside the head"
	FlawRepeatedHeader Flaw = "header with several values"
	FlawBody           Flaw = "response inside the body"
	FlawBehind         Flaw = "bytes behind the body that begin no response"
)

// Flaw returns the first flaw of a response.
func (r Received) Flaw() Flaw {
	switch {
	case r.hasStatusLineInHead():
		return FlawHead
	case r.hasRepeatedHeader():
		return FlawRepeatedHeader
	case r.hasResponseInBody():
		return FlawBody
	case r.hasRestBehind():
		return FlawBehind
	}
	return FlawNone
}

func (r Received) hasStatusLineInHead() bool {
	if hasStatusLine(r.Reason) {
		return true
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	for _, name := range r.SingleValued {
		if slices.ContainsFunc(r.Header[name], hasProtocolName) {
			return true
		}
	}
	return false
}

func hasStatusLine(text string) bool {
	return hasProtocolName(text) && indexStatusLine([]byte(text)) >= 0
}

func hasProtocolName(text string) bool { return strings.Contains(text, "HTTP/") }

func (r Received) hasRepeatedHeader() bool {
	for _, name := range r.SingleValued {
		if len(r.Header[name]) > 1 {
			return true
		}
	}
	return false
}

// hasResponseInBody reports whether the body holds the beginning of a response. A body may hold the
// text of a status line, so that a response is recognised by the ID of a request as well, unless
// nothing else shows where the body ends.
func (r Received) hasResponseInBody() bool {
	at := indexStatusLine(r.Body)
	return at >= 0 && (r.Framing == FramedByClose || bytes.Contains(bytes.ToLower(r.Body[at:]), bytes.ToLower(r.IDHeader)))
}

// hasRestBehind reports whether a body of the stated length is followed by bytes that begin no
// response. Bytes that were inserted into a body leave as many of its own behind it.
func (r Received) hasRestBehind() bool {
	if r.Framing != FramedByLength || len(r.Body) == 0 {
		return false
	}
	behind := bytes.TrimLeft(r.Behind, "\r\n")
	begin := []byte(protocolName)
	return !bytes.HasPrefix(behind, begin) && !bytes.HasPrefix(begin, behind)
}

// MaxBehind is the number of bytes of Received.Behind that Flaw needs.
const MaxBehind = len("\r\n") + len(protocolName)

// protocolName begins each status line.
const protocolName = "HTTP/1."

// statusLineSize is the size of a status line up to its status.
const statusLineSize = len(protocolName) + len("1 200")

// indexStatusLine returns the index of the first status line in text, or -1.
func indexStatusLine(text []byte) int {
	for offset := 0; ; offset++ {
		at := bytes.Index(text[offset:], []byte(protocolName))
		if at < 0 {
			return -1
		}
		offset += at
		if beginsStatusLine(text[offset:]) {
			return offset
		}
	}
}

// beginsStatusLine reports whether the text behind protocolName has the form of a minor version and
// a status.
func beginsStatusLine(text []byte) bool {
	if len(text) < statusLineSize {
		return false
	}
	rest := text[len(protocolName):statusLineSize]
	return isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4])
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }
