// Package intake bounds what the clients of an HTTP server occupy: their connections, and the bytes
// of the requests that are not answered yet. A connection on which no whole request has arrived may be
// closed at any time; one whose request runs is never touched.
//
// The package owns the count of both and the selection of the connection to close. It relies on
// package http to read each request through the connection, to call the handler once the head is
// whole, and to end with the connection.
package intake

import (
	"net"
	"sync"
	"time"
)

// Costs of what a client occupies, in bytes of memory.
const (
	// connectionCost covers the buffers and stacks of one connection.
	connectionCost = 16 << 10
	// headFactor covers the parsed form of a head of short lines, in bytes for each byte received.
	headFactor = 8
	// bodyFactor covers a buffer that grows, and what it replaces until that is collected.
	bodyFactor = 3
)

// Bound is a bound of a Guard.
type Bound string

// The bounds of a Guard.
const (
	BoundConnections Bound = "connections"
	BoundBytes       Bound = "bytes"
)

// Config is the policy of a Guard.
type Config struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Bytes bounds the memory for requests that are not answered yet, and for connections.
	Bytes int64
	// LargestRequest returns what the largest request occupies that is allowed now; see RequestCost.
	// One such request is read whatever Bytes is. It may be nil.
	LargestRequest func() int64
	// OnClose is called after a connection was closed because of a bound. It must not block.
	OnClose func(bound Bound)
}

// Guard enforces the bounds. It is safe for concurrent use.
type Guard struct {
	config Config

	mutex       sync.Mutex
	connections map[*Conn]struct{}
	bytes       int64
	// closing is what connections occupy that were closed because of a bound, until the server has
	// let go of them. released is signalled when it falls.
	closing  int64
	released sync.Cond
}

// NewGuard returns a Guard without connections.
func NewGuard(config Config) *Guard {
	guard := &Guard{config: config, connections: make(map[*Conn]struct{})}
	guard.released.L = &guard.mutex
	return guard
}

// phase is what a connection does.
type phase int

const (
	phaseHead    phase = iota // idle, or the head of a request arrives
	phaseBody                 // the body arrives
	phaseRunning              // the request is whole
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	guard *Guard

	// The fields below are guarded by guard.mutex.
	phase phase
	// cost is what the connection and its request occupy, in bytes.
	cost int64
	// since is when the connection became idle or was opened.
	since time.Time
	// served is set after the first answer.
	served bool
	// closed is set once the connection is not counted any more, and closing if it was closed because
	// of a bound and the server still holds it.
	closed, closing bool
}

// Usage is what the clients occupy.
type Usage struct {
	Connections int
	Bytes       int64
}

// Usage returns what the clients occupy now.
func (g *Guard) Usage() Usage {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return Usage{Connections: len(g.connections), Bytes: g.bytes}
}

// Accept counts a connection that was accepted. If that exceeds the bounds, it closes another one, or
// this one if the requests of all others run; then it returns false.
func (g *Guard) Accept(connection net.Conn) (*Conn, bool) {
	accepted := &Conn{Conn: connection, guard: g, since: time.Now()}
	g.mutex.Lock()
	g.connections[accepted] = struct{}{}
	closed := g.charge(accepted, connectionCost)
	for len(g.connections) > g.config.Connections {
		closed = append(closed, g.remove(g.longestWaiting(accepted), BoundConnections))
	}
	open := !accepted.closed
	if !open {
		g.release(accepted) // no server holds it
	}
	g.mutex.Unlock()
	g.close(closed)
	return accepted, open
}

// victim is a connection that is to be closed, and why.
type victim struct {
	*Conn
	bound Bound
}

// charge adds to the cost of a connection, and removes connections until the bound on bytes holds.
// The caller holds the mutex, and closes what is returned.
func (g *Guard) charge(charged *Conn, cost int64) []victim {
	if charged.closed {
		return nil
	}
	charged.cost += cost
	g.bytes += cost
	var closed []victim
	for g.bytes > g.bytesBound() {
		largest := g.largest()
		if largest == nil {
			break
		}
		closed = append(closed, g.remove(largest, BoundBytes))
	}
	return closed
}

// bytesBound returns the bound on bytes. It leaves room for one request of the largest allowed size.
func (g *Guard) bytesBound() int64 {
	if g.config.LargestRequest == nil {
		return g.config.Bytes
	}
	return max(g.config.Bytes, g.config.LargestRequest()+int64(len(g.connections))*connectionCost)
}

// remove stops counting a connection, which is to be closed because of a bound.
func (g *Guard) remove(conn *Conn, bound Bound) victim {
	g.forget(conn)
	conn.closing = true
	g.closing += conn.cost
	g.released.Broadcast() // its reader may wait
	return victim{conn, bound}
}

// forget stops counting a connection.
func (g *Guard) forget(conn *Conn) {
	conn.closed = true
	g.bytes -= conn.cost
	delete(g.connections, conn)
}

// release records that the server has let go of a connection that was closed because of a bound.
func (g *Guard) release(conn *Conn) {
	if conn.closing {
		conn.closing = false
		g.closing -= conn.cost
		g.released.Broadcast()
	}
}

// awaitRelease waits until the memory of closed connections has been released, so that those which
// are still open do not fill it a second time. It returns false if the connection was closed meanwhile.
func (g *Guard) awaitRelease(conn *Conn) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for !conn.closed && conn.phase != phaseRunning && g.closing > 0 && g.bytes+g.closing > g.bytesBound() {
		g.released.Wait()
	}
	return !conn.closed || conn.phase == phaseRunning
}

// close closes connections. It must be called without the mutex.
func (g *Guard) close(victims []victim) {
	for _, closed := range victims {
		_ = closed.Conn.Conn.Close() // its client may have closed it already
		g.config.OnClose(closed.bound)
	}
}

// largest returns the connection without a whole request that occupies most; nil if there is none.
// Of connections that occupy the same, it returns the one that has waited longest.
func (g *Guard) largest() *Conn {
	var largest *Conn
	for conn := range g.connections {
		switch {
		case conn.phase == phaseRunning:
		case largest == nil, conn.cost > largest.cost, conn.cost == largest.cost && conn.since.Before(largest.since):
			largest = conn
		}
	}
	return largest
}

// longestWaiting returns the connection to close in favor of one that was just accepted: the one that
// has waited longest for its first whole request, or else the one that has been idle longest. If there
// is no other, it returns the accepted one.
func (g *Guard) longestWaiting(accepted *Conn) *Conn {
	longest := accepted
	for conn := range g.connections {
		switch {
		case conn.phase == phaseRunning || conn == accepted:
		case longest == accepted, longest.served && !conn.served, longest.served == conn.served && conn.since.Before(longest.since):
			longest = conn
		}
	}
	return longest
}

// Read implements net.Conn. It counts what it reads until the request is whole.
func (c *Conn) Read(buffer []byte) (int, error) {
	if !c.guard.awaitRelease(c) {
		return 0, net.ErrClosed
	}
	read, err := c.Conn.Read(buffer)
	c.guard.mutex.Lock()
	var closed []victim
	switch c.phase {
	case phaseHead:
		closed = c.guard.charge(c, int64(read)*headFactor)
	case phaseBody:
		closed = c.guard.charge(c, int64(read)*bodyFactor)
	}
	c.guard.mutex.Unlock()
	c.guard.close(closed)
	return read, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.guard.mutex.Lock()
	if !c.closed {
		c.guard.forget(c)
	}
	c.guard.release(c)
	c.guard.mutex.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, so that the client receives an answer although this server
// reads no further. Package http calls it.
func (c *Conn) CloseWrite() error {
	if sender, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return sender.CloseWrite()
	}
	return nil
}

// setPhase records what the connection does, and returns false if it was closed because of a bound.
func (c *Conn) setPhase(next phase) bool {
	c.guard.mutex.Lock()
	defer c.guard.mutex.Unlock()
	c.phase = next
	return !c.closed
}

// setIdle records that the request was answered: the connection occupies no more than a new one.
func (c *Conn) setIdle() {
	c.guard.mutex.Lock()
	defer c.guard.mutex.Unlock()
	if !c.closed {
		c.guard.bytes -= c.cost - connectionCost
		c.cost = connectionCost
	}
	c.phase, c.since, c.served = phaseHead, time.Now(), true
}
