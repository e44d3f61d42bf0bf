package peer

import (
	"context"
	"fmt"
	"reflect"
	"time"
)

// callResult is the result of a call.
type callResult struct {
	value   reflect.Value // pointer to the response
	failure *Error
}

// callRequest is what a call asks of the peer.
type callRequest struct {
	method string
	body   any // a pointer to a struct
	// once is set if the caller must not repeat the request; see Client.CallOnce.
	once bool
	// withdrawAt is the time at which a request with once is withdrawn.
	withdrawAt time.Time
}

// sendContext returns the context that ends when the request must not be sent any more.
func (r *callRequest) sendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !r.once {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, r.withdrawAt)
}

// pendingCall is a call without a response.
type pendingCall struct {
	once         bool            // see callRequest
	responseType reflect.Type    // type to which the caller's response points
	result       chan callResult // buffered for one result
}

// complete delivers the result of the call. Any later result is dropped.
func (p *pendingCall) complete(r callResult) {
	select {
	case p.result <- r:
	default:
	}
}

// call performs one call on the established connection. sendCtx is the context of
// callRequest.sendContext.
func (c *clientConn) call(ctx, sendCtx context.Context, request callRequest, response any) *Error {
	target := reflect.ValueOf(response)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return &Error{Step: StepEncode, Err: fmt.Errorf("peer: response is %T, want a non-nil pointer to a struct", response)}
	}
	if request.once {
		if failure := c.confirmResponsive(sendCtx); failure != nil {
			return failure
		}
	}
	pending := &pendingCall{once: request.once, responseType: target.Type().Elem(), result: make(chan callResult, 1)}
	callID, ok := c.register(pending)
	if !ok {
		return &Error{Step: StepQueue, Err: ErrConnectionLost}
	}
	defer c.unregister(callID)
	startedAt := time.Now()
	frame := newRequestFrame(sendCtx, callID, request, pending)
	if failure := c.enqueue(sendCtx, frame, pending); failure != nil {
		return failure
	}
	select {
	case result := <-pending.result:
		return storeResult(result, target, frame)
	case <-sendCtx.Done():
	}
	failure := c.abandon(sendCtx, callID, frame)
	c.drainIfSilent(startedAt)
	if !request.once || !failure.Sent {
		return failure
	}
	select {
	case result := <-pending.result:
		return storeResult(result, target, frame)
	case <-ctx.Done():
		return failure
	}
}

// enqueue queues the request frame of a call. It returns nil as well if the call has its result
// before, because the connection is drained.
func (c *clientConn) enqueue(sendCtx context.Context, frame *outgoingFrame, pending *pendingCall) *Error {
	select {
	case c.framed.queue <- frame:
		return nil
	case result := <-pending.result:
		pending.complete(result)
		return nil
	case <-c.framed.closed:
		return &Error{Step: StepQueue, Err: ErrConnectionLost}
	case <-sendCtx.Done():
		return &Error{Step: StepQueue, Err: sendCtx.Err()}
	}
}

// newRequestFrame returns the request frame of a call, with the time until sendCtx ends. If the
// frame cannot be encoded, the call ends with that error.
func newRequestFrame(sendCtx context.Context, callID uint64, request callRequest, pending *pendingCall) *outgoingFrame {
	frame := &outgoingFrame{header: frameHeader{Kind: frameRequest, Call: callID, Method: request.method}, body: request.body}
	if deadline, ok := sendCtx.Deadline(); ok {
		frame.header.Remaining = max(time.Until(deadline), 1)
	}
	frame.onEncodeError = func(err error) *outgoingFrame {
		pending.complete(callResult{failure: &Error{Step: StepEncode, Err: err}})
		return nil
	}
	return frame
}

// storeResult stores the response of a successful call in target, and returns the error of a failed
// one.
func storeResult(result callResult, target reflect.Value, frame *outgoingFrame) *Error {
	if result.failure == nil {
		target.Elem().Set(result.value.Elem())
		return nil
	}
	if result.failure.Step == StepWait {
		// The connection was lost, possibly before the writer took the frame from the queue.
		result.failure.Sent = !frame.withdraw()
	}
	return result.failure
}

// abandon ends a call whose context has ended. If the request may have been sent, abandon cancels
// it at the peer.
func (c *clientConn) abandon(ctx context.Context, callID uint64, frame *outgoingFrame) *Error {
	if frame.withdraw() {
		return &Error{Step: StepQueue, Err: ctx.Err()}
	}
	select {
	case c.framed.queue <- &outgoingFrame{header: frameHeader{Kind: frameCancel, Call: callID}}:
	default: // the queue is full; the deadline that the peer received ends the call there
	}
	return &Error{Step: StepWait, Sent: true, Err: ctx.Err()}
}

// register adds a pending call and returns its ID. It returns false if the connection accepts no
// new calls.
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

// unregister removes a call that has ended.
func (c *clientConn) unregister(callID uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, callID)
	c.activeCalls--
	c.lastUsed = time.Now()
	c.closeIfDrained()
}
