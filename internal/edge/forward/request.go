package forward

import (
	"bytes"
	"time"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/decide/timeleft"
	"github.com/micaplank/micaplank/internal/edge/http1"
)

// Request is a client's request. Leaves receive it unchanged. The time fields are named as in
// package timeleft.
type Request struct {
	// ID identifies the request; a client that retries sends another id.
	ID     string
	Method string
	Host   string
	Path   string
	// Head holds the request line and the headers as they are forwarded, in the form of
	// http1.Message.
	Head []byte
	Body []byte
	// ClientTimeout is how long the client would still wait when the request arrived; zero if the
	// client sent no timeout. ArrivedAt is the time of arrival on the clock of this node.
	ClientTimeout time.Duration
	ArrivedAt     time.Duration
	// RelayTime is how long the relaying node had the request, plus the time that it needs to
	// return the answer; zero without a relay.
	RelayTime time.Duration
	// Route is the name of the request's route. The Forwarder sets it.
	Route string
	// TopK is the number of records that the answer holds, merged from all parts; zero if the
	// answer is one part unchanged. The Forwarder sets it.
	TopK int
	// History holds the connections that have carried an attempt of the request. The Forwarder sets
	// it.
	History *http1.History
	// Floor is a record below which no record is likely to be in the answer; empty without an
	// estimate. The Forwarder sets it.
	Floor []byte
}

// Remaining returns how long the client still waits at the time now on the clock of this node, at
// least 1 ms. It must only be called for a request whose client sent a timeout.
func (r *Request) Remaining(now time.Duration) time.Duration {
	return timeleft.Remaining(r.ClientTimeout, now-r.ArrivedAt)
}

// Content returns an identifier of what the request asks for. Headers are excluded, because they
// differ between attempts of the same request.
func (r *Request) Content() quarantine.Content {
	requestLine, _, _ := bytes.Cut(r.Head, []byte("\r\n"))
	return quarantine.HashContent(r.Host, requestLine, r.Body)
}
