package peer

import (
	"context"
	"fmt"
	"reflect"
	"time"
)

// reply is what ends a call.
type callResult struct {
	value   reflect.Value // pointer to the response
	failure *Error
}

// waiter is a call that waits for its response.
type pendingCall struct {
	responseType reflect.Type    // type that response points to
	result       chan callResult // holds one
}

// end hands the call its end; only the first one counts.
func (w *pendingCall) complete(r callResult) {
	select {
	case w.result <- r:
	default:
	}
}

// exchange runs one call on the established link.
func (c *clientConn) call(ctx context.Context, method string, request, response any) *Error {
	target := reflect.ValueOf(response)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return &Error{Step: StepEncode, Err: fmt.Errorf("peer: response is %T, expected a pointer to a struct", response)}
	}
	pending := &pendingCall{responseType: target.Type().Elem(), result: make(chan callResult, 1)}
	call, ok := c.register(pending)
	if !ok {
		return &Error{Step: StepQueue, Err: ErrLost}
	}
	defer c.unregister(call)
	begun := time.Now()
	frame := newRequestFrame(ctx, call, method, request, pending)
	select {
	case c.framed.queue <- frame:
	case <-c.framed.closed:
		return &Error{Step: StepQueue, Err: ErrLost}
	case <-ctx.Done():
		return &Error{Step: StepQueue, Err: ctx.Err()}
	}
	select {
	case got := <-pending.result:
		return storeResult(got, target, frame)
	case <-ctx.Done():
		failure := c.abandon(ctx, call, frame)
		c.closeIfSilent(begun)
		return failure
	}
}

func newRequestFrame(ctx context.Context, call uint64, method string, request any, pending *pendingCall) *outgoingFrame {
	frame := &outgoingFrame{header: frameHeader{Kind: frameRequest, Call: call, Method: method}, body: request}
	if deadline, ok := ctx.Deadline(); ok {
		frame.header.Remaining = max(time.Until(deadline), 1)
	}
	frame.onEncodeError = func(err error) *outgoingFrame {
		pending.complete(callResult{failure: &Error{Step: StepEncode, Err: err}})
		return nil
	}
	return frame
}

func storeResult(got callResult, target reflect.Value, frame *outgoingFrame) *Error {
	if got.failure == nil {
		target.Elem().Set(got.value.Elem())
		return nil
	}
	if got.failure.Step == StepWait {
		// The connection was lost; the frame may not have reached the writer.
		got.failure.Sent = !frame.withdraw()
	}
	return got.failure
}

// giveUp ends a call whose context has ended and cancels it at the peer.
func (c *clientConn) abandon(ctx context.Context, call uint64, frame *outgoingFrame) *Error {
	if frame.withdraw() {
		return &Error{Step: StepQueue, Err: ctx.Err()}
	}
	select {
	case c.framed.queue <- &outgoingFrame{header: frameHeader{Kind: frameCancel, Call: call}}:
	default: // the peer's deadline ends the call there
	}
	return &Error{Step: StepWait, Sent: true, Err: ctx.Err()}
}

func (c *clientConn) register(pending *pendingCall) (uint64, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lost || c.draining {
		return 0, false
	}
	c.lastCall++
	c.activeCalls++
	c.pending[c.lastCall] = pending
	c.lastUsed = time.Now()
	return c.lastCall, true
}

func (c *clientConn) unregister(call uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, call)
	c.activeCalls--
	c.lastUsed = time.Now()
	c.closeIfDrained()
}
