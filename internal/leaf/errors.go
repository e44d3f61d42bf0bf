package leaf

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/samber/oops"
	"golang.org/x/net/http2"
)

// Step names the part of a call at which an error arose.
type Step string

// The steps of a call, in order.
const (
	StepConnect Step = "leaf_connect"
	StepSend    Step = "leaf_send"
	StepReceive Step = "leaf_receive"
	StepDecode  Step = "leaf_decode"
	StepVerify  Step = "leaf_verify"
)

// TransportError says that a call brought no usable reply.
//
// Sent is false only if the request cannot have run and never will: no byte
// of its body was handed to a connection, or the leaf said by the means of
// HTTP/2 (REFUSED_STREAM, or a GOAWAY whose last stream id is below the
// request's) that it did not process it. In all other cases it is true, and
// the request may or may not have run.
type TransportError struct {
	Step Step
	Peer netip.AddrPort
	Sent bool
	// OnTheWay is set if the call was lost with another node that had it in
	// hand: it says nothing of the leaf.
	OnTheWay bool
	// Closed is set if the leaf's end of the connection was closed or reset before
	// a byte of its answer, as when its process crashes during the call.
	Closed bool
	// Refused is set if the leaf's address refused the connection: nobody listens there.
	Refused bool
	// Err is the cause. It carries the attributes step and peer.
	Err error
}

// Error implements error.
func (e *TransportError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// The causes of a TransportError that callers tell apart with errors.Is.
var (
	// ErrCrossedReply means that a reply belongs to another request.
	ErrCrossedReply = errors.New("reply of another request")
	// ErrTruncatedReply means that rows are missing from a reply.
	ErrTruncatedReply = errors.New("truncated reply")
	// ErrReplyTooLarge means that a reply exceeds Config.ReplyLimit.
	ErrReplyTooLarge = errors.New("reply too large")
	// ErrMalformedReply means that a reply contradicts the leaf protocol.
	ErrMalformedReply = errors.New("malformed reply")
	// ErrGoingAway means that the leaf closed the connection to new requests
	// before this one: it is leaving.
	ErrGoingAway = errors.New("leaf is going away")
	// ErrRefusedStream means that the leaf refused the stream unprocessed.
	ErrRefusedStream = errors.New("stream refused")
	// ErrNoConnection means that no connection to the leaf is open.
	ErrNoConnection = errors.New("no connection")
	// ErrClosed means that the client is closed.
	ErrClosed = errors.New("leaf client is closed")
)

// StatusError is an HTTP status other than 200.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

func newTransportError(step Step, peer netip.AddrPort, sent bool, err error) *TransportError {
	wrapped := oops.With("step", string(step), "peer", peer.String()).Wrap(err)
	return &TransportError{Step: step, Peer: peer, Sent: sent, Err: wrapped}
}

// goAwayText is the text of net/http's error for a stream above the last
// stream id of a GOAWAY frame. The error value is not exported; a test pins
// the text. If it ever changed, Sent would be true: the safe side.
const goAwayText = "http2: Transport received Server's graceful shutdown GOAWAY"

// unprocessed returns a typed error if err proves that the leaf did not
// process the request, and nil otherwise. It judges errors that came before
// the head of a reply.
func unprocessedError(err error) error {
	var streamError http2.StreamError
	if errors.As(err, &streamError) && streamError.Code == http2.ErrCodeRefusedStream {
		return fmt.Errorf("%w: %w", ErrRefusedStream, err)
	}
	if err.Error() == goAwayText {
		return fmt.Errorf("%w: %w", ErrGoingAway, err)
	}
	return nil
}
