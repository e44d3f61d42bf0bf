package store

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// errSealed is returned by Write after seal.
var errSealed = errors.New("write on a sealed connection")

// countingConnection counts the writes that were started on a connection. A failed call uses the
// count to determine whether any byte of it may have been sent.
type countingConnection struct {
	net.Conn
	writes atomic.Int64
	sealed atomic.Bool
}

// Write increments the counter before it checks sealed, and seal sets sealed before it reads the
// counter. Therefore either Write sees the seal and sends nothing, or seal counts the write.
func (c *countingConnection) Write(bytes []byte) (int, error) {
	c.writes.Add(1)
	if c.sealed.Load() {
		return 0, errSealed
	}
	return c.Conn.Write(bytes)
}

// seal closes the connection, prevents further writes and returns the number of writes.
func (c *countingConnection) seal() (writes int64) {
	c.sealed.Store(true)
	writes = c.writes.Load()
	_ = c.Close()
	return writes
}

// dialCounting returns a dial function whose connections are of type countingConnection.
func dialCounting(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout, KeepAlive: keepAlivePeriod}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConnection{Conn: connection}, nil
	}
}

// writeTracker observes the connection on which a call is sent. HTTP/1.1 carries one call at a time
// on a connection, so all writes after the call obtained the connection belong to it.
type writeTracker struct {
	connection   *countingConnection
	writesBefore int64
	// untracked is set if the call may have used a connection that is not observed.
	untracked bool
}

// trace returns a context whose HTTP trace records the connection of the call.
func (w *writeTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connection, ok := info.Conn.(*countingConnection)
			if !ok || w.connection != nil {
				w.untracked = true
				return
			}
			w.connection = connection
			w.writesBefore = connection.writes.Load()
		},
	})
}

// abort prevents further writes of a failed call and reports whether any byte of it may have been
// sent.
func (w *writeTracker) abort() (maybeSent bool) {
	if w.connection == nil {
		return w.untracked
	}
	return w.connection.seal() > w.writesBefore || w.untracked
}
