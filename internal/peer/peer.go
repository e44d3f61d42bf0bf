// Package peer is the transport between nodes. Datagrams sends small messages over one UDP socket.
// Client and Server perform calls, encoded with encoding/gob and multiplexed over TCP connections.
//
// The package owns the sockets between nodes. It does not interpret messages: it limits their size,
// counts them, and reports for each failed call whether the peer can have executed it. It imports
// no package of internal/decide.
package peer

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/samber/oops"
)

// Step is the stage of a call at which an error occurred.
type Step string

// The steps of a call.
const (
	StepDial      Step = "dial"
	StepHandshake Step = "handshake"
	StepPing      Step = "ping"
	StepQueue     Step = "queue"
	StepEncode    Step = "encode"
	StepWait      Step = "wait"
	StepDecode    Step = "decode"
	StepRefused   Step = "refused"
	StepHandler   Step = "handler"
)

// The causes of an Error that callers can test with errors.Is.
var (
	ErrClosed         = errors.New("peer: closed")
	ErrConnectionLost = errors.New("peer: connection lost")
	ErrTooLarge       = errors.New("peer: message too large")
	ErrHandshake      = errors.New("peer: not a micaplank peer, or another protocol version")
	ErrRefused        = errors.New("peer: refused")
)

// Error is the error of a failed call.
type Error struct {
	Step   Step
	Peer   netip.AddrPort
	Method string
	// Sent is false only if no byte of the request was or will be sent.
	Sent bool
	// NotExecuted is true only if the handler did not run and never will: nothing was sent, or the
	// peer refused the request before it started the handler.
	NotExecuted bool
	Err         error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("peer: %s %s to %s: %v", e.Step, e.Method, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotExecuted reports whether err proves that the handler of a call did not run and never will.
func NotExecuted(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.NotExecuted
}

// wrap adds the attributes step and peer to the error.
func wrap(failure *Error) error {
	return oops.In("peer").
		With("step", string(failure.Step)).
		With("peer", failure.Peer.String()).
		Wrap(failure)
}
