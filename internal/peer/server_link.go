package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// serverLink is one connection that a peer opened.
type serverLink struct {
	server *Server
	from   netip.AddrPort
	link   *link

	mutex sync.Mutex
	calls map[uint64]context.CancelFunc
	// handlers counts the handlers that run; it grows only under the server's
	// mutex while the server is not draining.
	handlers sync.WaitGroup
}

func (l *serverLink) read() {
	for {
		var header frameHeader
		if l.link.decoder.Decode(&header) != nil {
			return
		}
		var err error
		switch header.Kind {
		case frameRequest:
			err = l.request(header)
		case frameCancel:
			l.cancel(header.Call)
			err = l.link.skip(header)
		default:
			err = l.link.skip(header)
		}
		if err != nil {
			return
		}
	}
}

func (l *serverLink) request(header frameHeader) error {
	found, refused := l.server.admit(header, l)
	if refused != refusedNone {
		l.refuse(header, refused)
		return l.link.skip(header)
	}
	request := found.newRequest()
	if err := l.link.decoder.Decode(request); err != nil {
		l.handlers.Done()
		l.refuse(header, refusedMalformed)
		return err
	}
	ctx, cancel := callContext(header.Remaining)
	l.mutex.Lock()
	l.calls[header.Call] = cancel
	l.mutex.Unlock()
	l.server.running.Add(1)
	go l.run(ctx, header, found, request)
	return nil
}

func callContext(remaining time.Duration) (context.Context, context.CancelFunc) {
	if remaining == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), remaining)
}

func (l *serverLink) run(ctx context.Context, header frameHeader, found method, request any) {
	defer l.server.running.Done()
	defer l.handlers.Done()
	response, err := found.run(ctx, l.from, request)
	answer := frameHeader{Kind: frameResponse, Call: header.Call}
	result := "answered"
	if err != nil {
		answer.Failure, response, result = err.Error(), nil, "failed"
	}
	l.server.metrics.calls.WithLabelValues(header.Method, result).Inc()
	l.respond(answer, response)
	l.cancel(header.Call)
}

func (l *serverLink) refuse(header frameHeader, why refusal) {
	name := header.Method
	if why == refusedUnknownMethod {
		name = "" // a peer must not be able to make up label values
	}
	l.server.metrics.calls.WithLabelValues(name, "refused").Inc()
	l.respond(frameHeader{Kind: frameResponse, Call: header.Call, Refusal: why}, nil)
}

func (l *serverLink) respond(header frameHeader, body any) {
	frame := &outgoing{header: header, body: body}
	frame.failed = func(err error) *outgoing {
		failure := frameHeader{Kind: frameResponse, Call: header.Call, Failure: err.Error()}
		return &outgoing{header: failure}
	}
	l.link.send(frame)
}

func (l *serverLink) inFlight() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.calls)
}

func (l *serverLink) cancel(call uint64) {
	l.mutex.Lock()
	cancel := l.calls[call]
	delete(l.calls, call)
	l.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (l *serverLink) cancelAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, cancel := range l.calls {
		cancel()
	}
}
