// Package peer is the transport between nodes: Datagrams carries small
// messages over one UDP socket, Server and Client carry calls in encoding/gob
// over TCP connections that many calls share.
//
// The package knows nothing of what the messages mean. It bounds their size,
// counts them, and says of a call that failed whether the peer can have seen
// it. It owns the sockets between nodes and relies on no package that decides.
package peer

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/samber/oops"
)

// Step names the part of a call at which an error arose.
type Step string

// The steps of a call.
const (
	StepDial      Step = "dial"
	StepHandshake Step = "handshake"
	StepQueue     Step = "queue"
	StepEncode    Step = "encode"
	StepWait      Step = "wait"
	StepDecode    Step = "decode"
	StepRefused   Step = "refused"
	StepHandler   Step = "handler"
)

// Errors that an Error can wrap.
var (
	ErrClosed    = errors.New("peer: closed")
	ErrLost      = errors.New("peer: connection lost")
	ErrTooLarge  = errors.New("peer: message too large")
	ErrHandshake = errors.New("peer: not a micaplank peer, or another protocol version")
	ErrRefused   = errors.New("peer: refused")
)

// Error is the failure of a call.
type Error struct {
	Step   Step
	Peer   netip.AddrPort
	Method string
	// Sent is false only if no byte of the request can have left this
	// process.
	Sent bool
	// NotExecuted is true only if the handler cannot have run and never will:
	// nothing was sent, or the peer refused before it started the handler.
	NotExecuted bool
	Err         error
}

// Error describes the failure with its step, method and peer.
func (e *Error) Error() string {
	return fmt.Sprintf("peer: %s %s to %s: %v", e.Step, e.Method, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotExecuted says whether err proves that the handler of a call did not run
// and never will.
func NotExecuted(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.NotExecuted
}

func wrap(failure *Error) error {
	return oops.In("peer").
		With("step", string(failure.Step)).
		With("peer", failure.Peer.String()).
		Wrap(failure)
}
