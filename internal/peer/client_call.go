package peer

import (
	"context"
	"fmt"
	"reflect"
	"time"
)

// reply is what ends a call.
type reply struct {
	value   reflect.Value // pointer to the response
	failure *Error
}

// waiter is a call that waits for its response.
type waiter struct {
	kind  reflect.Type // type that response points to
	reply chan reply   // holds one
}

// end hands the call its end; only the first one counts.
func (w *waiter) end(r reply) {
	select {
	case w.reply <- r:
	default:
	}
}

// exchange runs one call on the established link.
func (l *clientLink) exchange(ctx context.Context, method string, request, response any) *Error {
	target := reflect.ValueOf(response)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return &Error{Step: StepEncode, Err: fmt.Errorf("peer: response is %T, expected a pointer to a struct", response)}
	}
	waiting := &waiter{kind: target.Type().Elem(), reply: make(chan reply, 1)}
	call, ok := l.enter(waiting)
	if !ok {
		return &Error{Step: StepQueue, Err: ErrLost}
	}
	defer l.leave(call)
	begun := time.Now()
	frame := requestFrame(ctx, call, method, request, waiting)
	select {
	case l.link.queue <- frame:
	case <-l.link.done:
		return &Error{Step: StepQueue, Err: ErrLost}
	case <-ctx.Done():
		return &Error{Step: StepQueue, Err: ctx.Err()}
	}
	select {
	case got := <-waiting.reply:
		return accept(got, target, frame)
	case <-ctx.Done():
		failure := l.giveUp(ctx, call, frame)
		l.closeIfSilent(begun)
		return failure
	}
}

func requestFrame(ctx context.Context, call uint64, method string, request any, waiting *waiter) *outgoing {
	frame := &outgoing{header: frameHeader{Kind: frameRequest, Call: call, Method: method}, body: request}
	if deadline, ok := ctx.Deadline(); ok {
		frame.header.Remaining = max(time.Until(deadline), 1)
	}
	frame.failed = func(err error) *outgoing {
		waiting.end(reply{failure: &Error{Step: StepEncode, Err: err}})
		return nil
	}
	return frame
}

func accept(got reply, target reflect.Value, frame *outgoing) *Error {
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
func (l *clientLink) giveUp(ctx context.Context, call uint64, frame *outgoing) *Error {
	if frame.withdraw() {
		return &Error{Step: StepQueue, Err: ctx.Err()}
	}
	select {
	case l.link.queue <- &outgoing{header: frameHeader{Kind: frameCancel, Call: call}}:
	default: // the peer's deadline ends the call there
	}
	return &Error{Step: StepWait, Sent: true, Err: ctx.Err()}
}

func (l *clientLink) enter(waiting *waiter) (uint64, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.lost || l.leaving {
		return 0, false
	}
	l.last++
	l.calls++
	l.waiters[l.last] = waiting
	l.used = time.Now()
	return l.last, true
}

func (l *clientLink) leave(call uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.waiters, call)
	l.calls--
	l.used = time.Now()
	l.closeIfLeft()
}
