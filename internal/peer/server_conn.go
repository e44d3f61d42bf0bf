package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// serverConn is one connection that a peer opened.
type serverConn struct {
	server *Server
	remote netip.AddrPort
	framed *framedConn

	mutex   sync.Mutex
	cancels map[uint64]context.CancelFunc
	// handlers counts the running handlers. It is incremented only under Server.mutex and only
	// while the server is not draining, so that drain can wait for it.
	handlers sync.WaitGroup
}

// readFrames handles incoming frames until the connection fails.
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

// handleRequest starts the handler of a request in a new goroutine, or refuses the request.
func (c *serverConn) handleRequest(header frameHeader) error {
	method, reason := c.server.admit(header, c)
	if reason != refusedNone {
		c.refuse(header, reason)
		return c.framed.skipBody(header)
	}
	request := method.newRequest()
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
	go c.run(ctx, header, method, request)
	return nil
}

// callContext returns the context of a handler. Zero remaining time means no deadline.
func callContext(remaining time.Duration) (context.Context, context.CancelFunc) {
	if remaining == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), remaining)
}

// run runs a handler and sends its response.
func (c *serverConn) run(ctx context.Context, header frameHeader, method registeredMethod, request any) {
	defer c.server.goroutines.Done()
	defer c.handlers.Done()
	response, err := method.handle(ctx, c.remote, request)
	responseHeader := frameHeader{Kind: frameResponse, Call: header.Call}
	result := "answered"
	if err != nil {
		responseHeader.Failure, response, result = err.Error(), nil, "failed"
	}
	c.server.metrics.calls.WithLabelValues(header.Method, result).Inc()
	c.respond(responseHeader, response)
	c.cancel(header.Call)
}

// refuse answers a request whose handler is not run.
func (c *serverConn) refuse(header frameHeader, reason refusal) {
	name := header.Method
	if reason == refusedUnknownMethod {
		name = "" // a peer must not be able to create arbitrary label values
	}
	c.server.metrics.calls.WithLabelValues(name, "refused").Inc()
	c.respond(frameHeader{Kind: frameResponse, Call: header.Call, Refusal: reason}, nil)
}

// respond queues a response. If the response cannot be encoded, the error is sent instead.
func (c *serverConn) respond(header frameHeader, body any) {
	frame := &outgoingFrame{header: header, body: body}
	frame.onEncodeError = func(err error) *outgoingFrame {
		failure := frameHeader{Kind: frameResponse, Call: header.Call, Failure: err.Error()}
		return &outgoingFrame{header: failure}
	}
	c.framed.send(frame)
}

// inFlight returns the number of running calls.
func (c *serverConn) inFlight() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.cancels)
}

// cancel cancels the context of a call if the call is running.
func (c *serverConn) cancel(callID uint64) {
	c.mutex.Lock()
	cancel := c.cancels[callID]
	delete(c.cancels, callID)
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
