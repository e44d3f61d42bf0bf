package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// serverLink is one connection that a peer opened.
type serverConn struct {
	server *Server
	remote netip.AddrPort
	framed *framedConn

	mutex   sync.Mutex
	cancels map[uint64]context.CancelFunc
	// handlers counts the handlers that run; it grows only under the server's
	// mutex while the server is not draining.
	handlers sync.WaitGroup
}

func (c *serverConn) readFrames() {
	for {
		var header frameHeader
		if c.framed.decoder.Decode(&header) != nil {
			return
		}
		var err error
		switch header.Kind {
		case frameRequest:
			err = c.handleRequest(header)
		case frameCancel:
			c.cancel(header.Call)
			err = c.framed.skipBody(header)
		default:
			err = c.framed.skipBody(header)
		}
		if err != nil {
			return
		}
	}
}

func (c *serverConn) handleRequest(header frameHeader) error {
	found, refused := c.server.admit(header, c)
	if refused != refusedNone {
		c.refuse(header, refused)
		return c.framed.skipBody(header)
	}
	request := found.newRequest()
	if err := c.framed.decoder.Decode(request); err != nil {
		c.handlers.Done()
		c.refuse(header, refusedMalformed)
		return err
	}
	ctx, cancel := callContext(header.Remaining)
	c.mutex.Lock()
	c.cancels[header.Call] = cancel
	c.mutex.Unlock()
	c.server.goroutines.Add(1)
	go c.run(ctx, header, found, request)
	return nil
}

func callContext(remaining time.Duration) (context.Context, context.CancelFunc) {
	if remaining == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), remaining)
}

func (c *serverConn) run(ctx context.Context, header frameHeader, found registeredMethod, request any) {
	defer c.server.goroutines.Done()
	defer c.handlers.Done()
	response, err := found.handle(ctx, c.remote, request)
	answer := frameHeader{Kind: frameResponse, Call: header.Call}
	result := "answered"
	if err != nil {
		answer.Failure, response, result = err.Error(), nil, "failed"
	}
	c.server.metrics.calls.WithLabelValues(header.Method, result).Inc()
	c.respond(answer, response)
	c.cancel(header.Call)
}

func (c *serverConn) refuse(header frameHeader, why refusal) {
	name := header.Method
	if why == refusedUnknownMethod {
		name = "" // a peer must not be able to make up label values
	}
	c.server.metrics.calls.WithLabelValues(name, "refused").Inc()
	c.respond(frameHeader{Kind: frameResponse, Call: header.Call, Refusal: why}, nil)
}

func (c *serverConn) respond(header frameHeader, body any) {
	frame := &outgoingFrame{header: header, body: body}
	frame.onEncodeError = func(err error) *outgoingFrame {
		failure := frameHeader{Kind: frameResponse, Call: header.Call, Failure: err.Error()}
		return &outgoingFrame{header: failure}
	}
	c.framed.send(frame)
}

func (c *serverConn) inFlight() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.cancels)
}

func (c *serverConn) cancel(call uint64) {
	c.mutex.Lock()
	cancel := c.cancels[call]
	delete(c.cancels, call)
	c.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *serverConn) cancelAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, cancel := range c.cancels {
		cancel()
	}
}
