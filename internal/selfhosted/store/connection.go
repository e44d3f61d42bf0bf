package store

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

var errSealed = errors.New("connection given up on")

// countedConnection counts the writes begun on a connection, so that a failed
// call can tell whether a byte of it can have left.
type countingConnection struct {
	net.Conn
	writes atomic.Int64
	sealed atomic.Bool
}

// Write counts first and checks the seal second; seal does the reverse. So
// either the write sees the seal and sends nothing, or seal sees the write.
func (c *countingConnection) Write(bytes []byte) (int, error) {
	c.writes.Add(1)
	if c.sealed.Load() {
		return 0, errSealed
	}
	return c.Conn.Write(bytes)
}

func (c *countingConnection) seal() (writes int64) {
	c.sealed.Store(true)
	writes = c.writes.Load()
	_ = c.Close()
	return writes
}

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

// departure follows one call to the connection that it is sent on. HTTP/1.1
// carries one call at a time on a connection, so all writes on it after the
// call got it belong to the call.
type writeTracker struct {
	connection   *countingConnection
	writesBefore int64
	untracked    bool
}

func (d *writeTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connection, ok := info.Conn.(*countingConnection)
			if !ok || d.connection != nil {
				d.untracked = true
				return
			}
			d.connection = connection
			d.writesBefore = connection.writes.Load()
		},
	})
}

// abandon is called after the call failed. It makes sure that nothing more
// leaves, and reports whether anything can have left.
func (d *writeTracker) abort() (maybeSent bool) {
	if d.connection == nil {
		return d.untracked
	}
	return d.connection.seal() > d.writesBefore || d.untracked
}
