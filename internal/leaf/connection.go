package leaf

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
)

// connection is one HTTP/2 connection to a leaf.
type connection struct {
	client  *http.ClientConn
	netConn *goAwayConn
	// changed receives a value when the state of the connection may have changed.
	changed chan struct{}
	// activeCalls counts the calls that have acquired the connection and have not released it. The
	// count of requests in flight of http.ClientConn cannot replace it: that count includes a call
	// only after its stream is open, so a connection that is closed at zero requests in flight can
	// interrupt a call that is about to open its stream. On a loaded machine this happens to 1 to 3
	// of 100,000 calls.
	activeCalls atomic.Int64
}

// newTransport returns a transport that supports only HTTP/2 without TLS. Its connection pool is
// not used: requests are sent on an http.ClientConn, so that net/http cannot send a request again
// on another connection.
func newTransport(config Config) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:          protocols,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: config.PingIdleTime,
			PingTimeout:     config.PingTimeout,
		},
		DialContext: dialConn,
	}
}

type connectionKey struct{}

// dialConn is the DialContext function of the transport. It stores the network connection in the
// connection that dial put into ctx.
func dialConn(ctx context.Context, network, address string) (net.Conn, error) {
	c := ctx.Value(connectionKey{}).(*connection)
	netConn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.netConn = &goAwayConn{Conn: netConn, onGoAway: c.notify}
	return c.netConn, nil
}

// dial opens a connection. The context applies to the dial only.
func dial(ctx context.Context, transport *http.Transport, address netip.AddrPort) (*connection, error) {
	c := &connection{changed: make(chan struct{}, 1)}
	ctx = context.WithValue(ctx, connectionKey{}, c)
	client, err := transport.NewClientConn(ctx, "http", address.String())
	if err != nil {
		return nil, err
	}
	c.client = client
	client.SetStateHook(func(*http.ClientConn) { c.notify() })
	return c, nil
}

// notify wakes up the goroutine that waits for changed. It never blocks.
func (c *connection) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// usable reports whether the connection accepts new requests.
func (c *connection) usable() bool {
	return !c.netConn.goingAway.Load() && c.client.Err() == nil
}

// waitUnusable blocks until the connection is unusable or ctx is done.
func (c *connection) waitUnusable(ctx context.Context) {
	for c.usable() {
		select {
		case <-c.changed:
		case <-ctx.Done():
			return
		}
	}
}

// acquire counts one more active call. The caller holds the mutex of the pool, and the connection
// is in the pool.
func (c *connection) acquire() { c.activeCalls.Add(1) }

// release counts one active call less.
func (c *connection) release() {
	c.activeCalls.Add(-1)
	c.notify()
}

// closeWhenIdle closes the connection when its calls have ended or ctx is done. The connection must
// have been removed from the pool, so that no new call can acquire it.
func (c *connection) closeWhenIdle(ctx context.Context) {
	defer c.client.Close()
	for c.client.Err() == nil && c.activeCalls.Load() > 0 {
		select {
		case <-c.changed:
		case <-ctx.Done():
			return
		}
	}
}
