package peer

import (
	"context"
	"time"
)

// drainTimeout is how long a draining server waits, after the responses to the calls of a
// connection, until the peer closes it. Requests that arrive in this time are refused, so the peer
// learns that they did not run. A reachable peer closes the connection within a round trip. A peer
// that is frozen or unreachable delays the shutdown by this timeout.
const drainTimeout = time.Second

// Close stops accepting connections, refuses new calls, and waits until the running calls have been
// answered and the peers have closed their connections. If ctx ends first, Close closes all
// connections immediately and returns the error of ctx.
func (s *Server) Close(ctx context.Context) error {
	s.drain()
	ended := make(chan struct{})
	go func() {
		s.goroutines.Wait()
		close(ended)
	}()
	var err error
	select {
	case <-ended:
	case <-ctx.Done():
		err = ctx.Err()
		s.closeAll()
	}
	<-ended
	return err
}

// drain closes the listener and starts to drain all connections. A connection in the handshake is
// drained when its handshake is done, for which it has at most drainTimeout.
func (s *Server) drain() {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	for conn := range s.conns {
		s.goroutines.Go(conn.drain)
	}
	for netConn := range s.handshaking {
		_ = netConn.SetDeadline(time.Now().Add(drainTimeout))
	}
}

// closeAll closes all connections immediately.
func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.framed.close()
	}
	for netConn := range s.handshaking {
		_ = netConn.Close()
	}
}

// drain sends a GOAWAY frame and waits until the running handlers have ended and the peer has
// closed the connection. If the peer has not closed it within drainTimeout, drain closes it.
func (c *serverConn) drain() {
	c.sendGoAway()
	c.handlers.Wait()
	select {
	case <-c.framed.closed:
	case <-time.After(drainTimeout):
		c.framed.send(&outgoingFrame{closeAfterFlush: true})
	}
}

// sendGoAway queues a GOAWAY frame, which asks the peer to send no more requests on the connection.
func (c *serverConn) sendGoAway() {
	frame := &outgoingFrame{header: frameHeader{Kind: frameGoAway}}
	select {
	case c.framed.queue <- frame:
	default: // the queue is full; the requests of the peer are refused instead
	}
}
