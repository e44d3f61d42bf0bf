package peer

import (
	"errors"
	"fmt"
	"reflect"
	"time"
)

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

func (l *clientLink) take(call uint64) *waiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silence.heard(time.Now())
	found := l.waiters[call]
	delete(l.waiters, call)
	return found
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
