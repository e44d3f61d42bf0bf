package forward

import (
	"bytes"
	"time"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/decide/timeleft"
)

// Request is a client's request. Leaves receive it unchanged. Its times are named as in
// package timeleft.
type Request struct {
	// ID is the client's id of this attempt of its own.
	ID     string
	Method string
	Host   string
	Path   string
	// Head is the request line and the headers as they travel on, in the form of
	// http1.Message.
	Head []byte
	Body []byte
	// ClientTimeout is how long the client waited yet when the request was Arrived, on
	// the clock of this node; zero if it did not say.
	ClientTimeout time.Duration
	Arrived       time.Duration
	// RelayTime is the time that another node, which received the request, has had it,
	// and needs to return the answer.
	RelayTime time.Duration
	// Route is the name of its route. The Forwarder sets it.
	Route string
	// TopK is how many records of all parts the answer holds; zero if it is the
	// one part unchanged. The Forwarder sets it.
	TopK int
	// Floor is a record below which none is likely to count in the answer; empty
	// if nothing is known. The Forwarder sets it.
	Floor []byte
}

// Remaining returns how long the client waits from now on, a time on the clock of this
// node; 1 ms at least. It is for a request whose client said how long it waits.
func (r *Request) Remaining(now time.Duration) time.Duration {
	return timeleft.Remaining(r.ClientTimeout, now-r.Arrived)
}

// Content names what the request asks. Its headers do not count: they differ from
// try to try.
func (r *Request) Content() quarantine.Content {
	requestLine, _, _ := bytes.Cut(r.Head, []byte("\r\n"))
	return quarantine.ContentOf(r.Host, requestLine, r.Body)
}
