package leaf

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/samber/oops"
	"golang.org/x/net/http2"
)

// Step is the stage of a call at which an error occurred.
type Step string

// The steps of a call, in order.
const (
	StepConnect Step = "leaf_connect"
	StepSend    Step = "leaf_send"
	StepReceive Step = "leaf_receive"
	StepDecode  Step = "leaf_decode"
	StepVerify  Step = "leaf_verify"
)

// ConnectionUse tells on which connection to its leaf a call ran. It is zero if that is unknown.
type ConnectionUse struct {
	// LocalPort is the port of the connection at this node.
	LocalPort uint16
	// Request is the number of the request on the connection, from 1.
	Request int
	// Skipped is the number of responses to other requests that arrived before the response.
	Skipped int
}

// TransportError is the error of a call that returned no usable reply.
type TransportError struct {
	Step Step
	Peer netip.AddrPort
	// Sent is false only if the request did not run and never will: no byte of its body was written
	// to a connection, or the leaf reported over HTTP/2 that it did not process the request, with
	// REFUSED_STREAM or with a GOAWAY whose last stream ID is below that of the request. In all
	// other cases Sent is true, and the request may or may not have run.
	Sent bool
	// LostAtRelay is set if the call was lost at another node that was relaying it, so that the
	// error does not indicate a fault of the leaf.
	LostAtRelay bool
	// Closed is set if the leaf closed or reset the connection before the first byte of its answer,
	// for example because its process crashed during the call.
	Closed bool
	// Refused is set if the connection was refused because no process listens at the leaf's
	// address.
	Refused bool
	// Withdrawn is set if the node decided not to send the request after all, so that the error does
	// not indicate a fault of the leaf.
	Withdrawn bool
	// Connection tells on which connection the request was sent.
	Connection ConnectionUse
	// Err is the cause. It carries the attributes step and peer.
	Err error
}

// Error implements error.
func (e *TransportError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// The causes of a TransportError that callers can test with errors.Is.
var (
	// ErrCrossedReply means that a reply belongs to another request.
	ErrCrossedReply = errors.New("reply belongs to another request")
	// ErrTruncatedReply means that rows are missing from a reply.
	ErrTruncatedReply = errors.New("truncated reply")
	// ErrReplyTooLarge means that a reply is larger than Config.ReplyLimit.
	ErrReplyTooLarge = errors.New("reply too large")
	// ErrMalformedReply means that a reply violates the leaf protocol.
	ErrMalformedReply = errors.New("malformed reply")
	// ErrGoingAway means that the leaf sent a GOAWAY frame and did not process the request.
	ErrGoingAway = errors.New("leaf is going away")
	// ErrRefusedStream means that the leaf reset the stream with REFUSED_STREAM and did not process
	// the request.
	ErrRefusedStream = errors.New("stream refused")
	// ErrNoConnection means that no connection to the leaf is open.
	ErrNoConnection = errors.New("no connection to leaf")
	// ErrClosed means that the client is closed.
	ErrClosed = errors.New("leaf client is closed")
)

// StatusError reports an HTTP status other than 200.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

func newTransportError(step Step, peer netip.AddrPort, sent bool, err error) *TransportError {
	wrapped := oops.With("step", string(step), "peer", peer.String()).Wrap(err)
	return &TransportError{Step: step, Peer: peer, Sent: sent, Err: wrapped}
}

// goAwayText is the text of the error that net/http returns for a stream above the last stream ID
// of a GOAWAY frame. net/http does not export the error value, so the text is compared, and
// TestGoAwayTextMatchesNetHTTP checks it. If net/http changed the text, Sent would be true, which
// is safe because the request is then treated as possibly run.
const goAwayText = "http2: Transport received Server's graceful shutdown GOAWAY"

// unprocessedError returns ErrRefusedStream or ErrGoingAway, wrapped, if err proves that the leaf
// did not process the request, and nil otherwise. It applies only to errors that occur before the
// headers of the reply.
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
