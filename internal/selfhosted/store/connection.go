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
type countedConnection struct {
	net.Conn
	writes atomic.Int64
	sealed atomic.Bool
}

// Write counts first and checks the seal second; seal does the reverse. So
// either the write sees the seal and sends nothing, or seal sees the write.
func (c *countedConnection) Write(bytes []byte) (int, error) {
	c.writes.Add(1)
	if c.sealed.Load() {
		return 0, errSealed
	}
	return c.Conn.Write(bytes)
}

func (c *countedConnection) seal() (writes int64) {
	c.sealed.Store(true)
	writes = c.writes.Load()
	_ = c.Close()
	return writes
}

func dialCounted(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout, KeepAlive: keepAlivePeriod}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConnection{Conn: connection}, nil
	}
}

// departure follows one call to the connection that it is sent on. HTTP/1.1
// carries one call at a time on a connection, so all writes on it after the
// call got it belong to the call.
type departure struct {
	connection *countedConnection
	before     int64
	unknown    bool
}

func (d *departure) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connection, ok := info.Conn.(*countedConnection)
			if !ok || d.connection != nil {
				d.unknown = true
				return
			}
			d.connection = connection
			d.before = connection.writes.Load()
		},
	})
}

// abandon is called after the call failed. It makes sure that nothing more
// leaves, and reports whether anything can have left.
func (d *departure) abandon() (mayHaveLeft bool) {
	if d.connection == nil {
		return d.unknown
	}
	return d.connection.seal() > d.before || d.unknown
}
