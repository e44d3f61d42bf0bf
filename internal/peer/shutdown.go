package peer

import (
	"context"
	"time"
)

// leaveTimeout is how long a connection is kept open, after the answers to its
// calls, for a peer that was asked to leave it: until then its calls on the way are
// refused, not cut off. A peer in touch leaves within a round trip; the bound
// counts for one that is frozen or cut off, and is what that adds to a stop.
const drainTimeout = time.Second

// Close stops to accept, refuses new calls and waits until the running ones
// have been answered and the peers have left, or ctx ends; then it closes all
// connections. It returns the context's error if calls were cut off.
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

// drain asks the peers to leave. Connections still in the handshake are asked once
// it is done; they get no longer for it than the others.
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

// closeAll cuts all connections off.
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

// end asks the peer to leave, waits until the running handlers have been
// answered and the peer has closed the connection, and closes it if it has not.
func (c *serverConn) drain() {
	c.sendGoAway()
	c.handlers.Wait()
	select {
	case <-c.framed.closed:
	case <-time.After(drainTimeout):
		c.framed.send(&outgoingFrame{closeAfterFlush: true})
	}
}

func (c *serverConn) sendGoAway() {
	frame := &outgoingFrame{header: frameHeader{Kind: frameGoAway}}
	select {
	case c.framed.queue <- frame:
	default: // the peer is refused instead
	}
}
