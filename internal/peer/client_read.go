package peer

import (
	"errors"
	"fmt"
	"reflect"
	"time"
)

// readFrames handles incoming frames until the connection fails, and returns the error.
func (c *clientConn) readFrames() error {
	for {
		var header frameHeader
		if err := c.framed.decoder.Decode(&header); err != nil {
			return err
		}
		c.markHeard()
		var err error
		switch header.Kind {
		case frameResponse:
			err = c.handleResponse(header)
		case frameGoAway:
			c.handleGoAway()
		default:
			err = c.framed.skipBody(header)
		}
		if err != nil {
			return err
		}
	}
}

// handleGoAway stops new calls on the connection because the peer is draining.
func (c *clientConn) handleGoAway() {
	c.client.remove(c)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining = true
	c.closeIfDrained()
}

// handleResponse completes the call of a response. If the call has already ended, the response is
// dropped.
func (c *clientConn) handleResponse(header frameHeader) error {
	pending := c.takePending(header.Call)
	if pending == nil {
		return c.framed.skipBody(header)
	}
	switch {
	case header.Refusal != refusedNone:
		pending.complete(callResult{failure: &Error{Step: StepRefused, Sent: true, NotExecuted: true,
			Err: fmt.Errorf("%w: %s", ErrRefused, header.Refusal)}})
	case header.Failure != "":
		pending.complete(callResult{failure: &Error{Step: StepHandler, Sent: true, Err: errors.New(header.Failure)}})
	default:
		return c.decodeResponse(header, pending)
	}
	return c.framed.skipBody(header)
}

// takePending removes a pending call and returns it, or nil if the call has ended.
func (c *clientConn) takePending(callID uint64) *pendingCall {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silence.frameReceived(time.Now())
	pending := c.pending[callID]
	delete(c.pending, callID)
	return pending
}

// decodeResponse decodes the body of a response and completes its call.
func (c *clientConn) decodeResponse(header frameHeader, pending *pendingCall) error {
	value := reflect.New(pending.responseType)
	if !header.HasBody {
		pending.complete(callResult{value: value})
		return nil
	}
	err := c.framed.decoder.DecodeValue(value)
	if err != nil {
		pending.complete(callResult{failure: &Error{Step: StepDecode, Sent: true, Err: err}})
		return err
	}
	pending.complete(callResult{value: value})
	return nil
}

// failAll fails all pending calls after the connection is lost. It must be called after the writer
// has ended, so that the state of each frame is final.
func (c *clientConn) failAll(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lost = true
	c.idleTimer.Stop()
	for callID, pending := range c.pending {
		delete(c.pending, callID)
		pending.complete(callResult{failure: &Error{Step: StepWait, Sent: true, Err: errors.Join(ErrConnectionLost, err)}})
	}
}
