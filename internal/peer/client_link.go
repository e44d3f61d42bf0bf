package peer

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
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

// clientLink is one connection to a peer with the calls that run on it.
type clientLink struct {
	client *Client
	key    slotKey
	// ready is closed once the connection stands or has failed; link and
	// failure are set before and constant afterwards.
	ready   chan struct{}
	link    *link
	failure *Error

	mutex   sync.Mutex
	waiters map[uint64]*waiter // of calls without a response yet
	calls   int                // that have not ended; some have their response
	last    uint64
	lost    bool
	leaving bool // the peer is draining, or the link is idle: no new calls
	used    time.Time
	idle    *time.Timer
	silence silence
}

func newClientLink(client *Client, key slotKey) *clientLink {
	return &clientLink{
		client:  client,
		key:     key,
		ready:   make(chan struct{}),
		waiters: map[uint64]*waiter{},
		used:    time.Now(),
	}
}

// run opens the connection and reads from it until it ends.
func (l *clientLink) run() {
	defer l.client.links.Done()
	connection, failure := l.client.dial(l.key.peer)
	if failure != nil {
		l.failure = failure
		l.client.forget(l)
		close(l.ready)
		return
	}
	metrics := l.client.metrics
	sent := metrics.bytes.WithLabelValues("sent")
	received := metrics.bytes.WithLabelValues("received")
	l.link = newLink(connection,
		func(bytes int) { sent.Add(float64(bytes)) },
		func(bytes int) { received.Add(float64(bytes)) })
	metrics.connections.Inc()
	close(l.ready)
	l.watchIdle(l.client.options.IdleTimeout)
	err := l.read()
	l.client.forget(l)
	l.link.close()
	l.link.writer.Wait()
	l.failAll(err)
	metrics.connections.Dec()
}

// shut closes an established link. The client's dial context ends the others.
func (l *clientLink) shut() {
	select {
	case <-l.ready:
		if l.link != nil {
			l.link.close()
		}
	default:
	}
}

// closeIfIdle closes the link if it has had no call for the idle timeout.
func (l *clientLink) closeIfIdle() {
	timeout := l.client.options.IdleTimeout
	l.mutex.Lock()
	rest := timeout - time.Since(l.used)
	idle := l.calls == 0 && rest <= 0
	if idle {
		l.leaving = true
	}
	l.mutex.Unlock()
	if idle {
		l.link.close()
		return
	}
	l.watchIdle(max(rest, timeout/4))
}

func (l *clientLink) watchIdle(after time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.lost {
		l.idle = time.AfterFunc(after, l.closeIfIdle)
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

// closeIfSilent ends the connection if it has gone silent, by the wait of a call
// that has been given up: no other call on it would get an answer.
func (l *clientLink) closeIfSilent(begun time.Time) {
	l.mutex.Lock()
	silent := l.silence.waited(begun, time.Now())
	l.mutex.Unlock()
	if !silent {
		return
	}
	l.client.metrics.silent.Inc()
	l.client.forget(l)
	l.link.close()
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

// closeIfLeft closes the link once its last call has ended, if it takes no new
// ones: a peer that drains waits for that.
func (l *clientLink) closeIfLeft() {
	if l.leaving && l.calls == 0 {
		l.link.close()
	}
}

func (l *clientLink) take(call uint64) *waiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silence.heard(time.Now())
	found := l.waiters[call]
	delete(l.waiters, call)
	return found
}

// failAll ends all calls after the connection is lost. The writer has ended
// before, so that the state of each frame is final.
func (l *clientLink) failAll(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lost = true
	l.idle.Stop()
	for call, waiting := range l.waiters {
		delete(l.waiters, call)
		waiting.end(reply{failure: &Error{Step: StepWait, Sent: true, Err: errors.Join(ErrLost, err)}})
	}
}

func (l *clientLink) read() error {
	for {
		var header frameHeader
		if err := l.link.decoder.Decode(&header); err != nil {
			return err
		}
		var err error
		switch header.Kind {
		case frameResponse:
			err = l.response(header)
		case frameGoAway:
			l.goAway()
		default:
			err = l.link.skip(header)
		}
		if err != nil {
			return err
		}
	}
}

func (l *clientLink) goAway() {
	l.client.forget(l)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leaving = true
	l.closeIfLeft()
}

// response hands a response to its waiter; a late one finds none and is
// dropped.
func (l *clientLink) response(header frameHeader) error {
	waiting := l.take(header.Call)
	if waiting == nil {
		return l.link.skip(header)
	}
	switch {
	case header.Refusal != refusedNone:
		waiting.end(reply{failure: &Error{Step: StepRefused, Sent: true, NotExecuted: true,
			Err: fmt.Errorf("%w: %s", ErrRefused, header.Refusal)}})
	case header.Failure != "":
		waiting.end(reply{failure: &Error{Step: StepHandler, Sent: true, Err: errors.New(header.Failure)}})
	default:
		return l.deliver(header, waiting)
	}
	return l.link.skip(header)
}

func (l *clientLink) deliver(header frameHeader, waiting *waiter) error {
	value := reflect.New(waiting.kind)
	if !header.HasBody {
		waiting.end(reply{value: value})
		return nil
	}
	err := l.link.decoder.DecodeValue(value)
	if err != nil {
		waiting.end(reply{failure: &Error{Step: StepDecode, Sent: true, Err: err}})
		return err
	}
	waiting.end(reply{value: value})
	return nil
}
