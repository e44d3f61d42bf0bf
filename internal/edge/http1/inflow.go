package http1

import (
	"errors"
	"net"
)

// Errors of responses that take too much memory.
var (
	errHeadTooLarge     = errors.New("head of the response exceeds the limit")
	errFramingTooLarge  = errors.New("chunks and trailers of the response exceed the limit")
	errResponsesTooMany = errors.New("responses in arrival exceed the limit of all connections")
)

// The bounds on responses, as values of the label "bound".
const (
	boundHead    = "head"
	boundFraming = "framing"
	boundBody    = "body"
	boundAll     = "all"
)

// inflow is the receiving side of a connection. It bounds what arrives for one response, and counts it
// for the bound on all connections of the client. Only the goroutine that reads the connection uses it.
type inflow struct {
	socket net.Conn
	client *Client
	// held is what has arrived for the current response, in bytes.
	held int64
	// limit bounds held; limitErr is the error beyond it.
	limit    int64
	limitErr error
}

// fairShare is what a response may hold although all responses together exceed their bound, in bytes.
const fairShare = 64 << 10

// begin starts the count of a response, whose head and interim responses are bounded.
func (i *inflow) begin() {
	i.held, i.limit, i.limitErr = 0, int64(i.client.config.HeadBytes), errHeadTooLarge
}

// beginBody starts the count of the body, whose framing may take framingFactor times its limit.
func (i *inflow) beginBody() {
	i.limit = i.held + framingFactor*i.client.config.BodyBytes + int64(i.client.config.HeadBytes)
	i.limitErr = errFramingTooLarge
}

// framingFactor bounds the bytes on the wire for one byte of a body: a chunk of one byte takes six.
const framingFactor = 6

// end ends the count of a response.
func (i *inflow) end() {
	i.client.held.Add(-i.held)
	i.held, i.limit = 0, 0
}

// Read implements io.Reader. Between two responses it has no limit, since the connection is closed
// as soon as anything arrives.
func (i *inflow) Read(buffer []byte) (int, error) {
	read, err := i.socket.Read(buffer)
	if i.limit == 0 {
		return read, err
	}
	i.held += int64(read)
	all := i.client.held.Add(int64(read))
	switch {
	case i.held > i.limit:
		return 0, i.limitErr
	case all > i.client.config.ResponseBytes && i.held > fairShare:
		return 0, errResponsesTooMany
	}
	return read, err
}

// boundOf returns the bound that an error names; empty if it names none.
func boundOf(err error) string {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return boundHead
	case errors.Is(err, errFramingTooLarge):
		return boundFraming
	case errors.Is(err, errBodyTooLarge):
		return boundBody
	case errors.Is(err, errResponsesTooMany):
		return boundAll
	default:
		return ""
	}
}
