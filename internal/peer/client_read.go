package peer

import (
	"errors"
	"fmt"
	"reflect"
	"time"
)

func (c *clientConn) readFrames() error {
	for {
		var header frameHeader
		if err := c.framed.decoder.Decode(&header); err != nil {
			return err
		}
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

func (c *clientConn) handleGoAway() {
	c.client.remove(c)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining = true
	c.closeIfDrained()
}

// response hands a response to its waiter; a late one finds none and is
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

func (c *clientConn) takePending(call uint64) *pendingCall {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silence.frameReceived(time.Now())
	found := c.pending[call]
	delete(c.pending, call)
	return found
}

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

// failAll ends all calls after the connection is lost. The writer has ended
// before, so that the state of each frame is final.
func (c *clientConn) failAll(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lost = true
	c.idleTimer.Stop()
	for call, pending := range c.pending {
		delete(c.pending, call)
		pending.complete(callResult{failure: &Error{Step: StepWait, Sent: true, Err: errors.Join(ErrLost, err)}})
	}
}
