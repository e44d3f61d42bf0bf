package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const longTimeout = time.Minute

// testServer is an httpServer whose timeouts a test can change.
type testServer struct {
	*testing.T
	server   *httpServer
	timeouts atomic.Pointer[serverTimeouts]
	served   atomic.Int64
}

func newTestServer(t *testing.T, timeouts serverTimeouts) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &testServer{T: t}
	c.timeouts.Store(&timeouts)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { c.served.Add(1) })
	c.server = newHTTPServer(listener, handler, func() serverTimeouts { return *c.timeouts.Load() })
	serveErr := make(chan error, 1)
	go func() { serveErr <- c.server.Serve() }()
	t.Cleanup(func() {
		if err := c.server.Shutdown(context.Background()); err != nil {
			t.Errorf("Shutdown: got error %v, want none", err)
		}
		if err := <-serveErr; err != http.ErrServerClosed {
			t.Errorf("Serve: got %v, want %v", err, http.ErrServerClosed)
		}
	})
	return c
}

func (c *testServer) dial() net.Conn {
	c.Helper()
	connection, err := net.Dial("tcp", c.server.listener.Addr().String())
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() { _ = connection.Close() })
	return connection
}

func (c *testServer) write(connection net.Conn, text string) {
	c.Helper()
	if _, err := io.WriteString(connection, text); err != nil {
		c.Fatal(err)
	}
}

// request sends a complete request and reads its response.
func (c *testServer) request(connection net.Conn) {
	c.Helper()
	c.write(connection, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		c.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		c.Fatalf("got status %d, want %d", response.StatusCode, http.StatusOK)
	}
}

// waitForClose reads until the server closes the connection; the time limit of the test run ends
// the wait for a server that never does. If the server closes with unread bytes, the client sees a
// reset.
func (c *testServer) waitForClose(connection net.Conn) {
	c.Helper()
	if received, err := io.ReadAll(connection); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		c.Fatalf("reading until the server closes the connection: got %q and error %v, want EOF or a reset", received, err)
	}
}

func TestHeaderTimeoutClosesConnectionWithoutRequest(t *testing.T) {
	c := newTestServer(t, serverTimeouts{header: 20 * time.Millisecond, idle: longTimeout})
	slow := c.dial()
	c.write(slow, "GET / HTTP/1.1\r\nHost: a.exam")
	c.waitForClose(slow)
	if served := c.served.Load(); served != 0 {
		t.Fatalf("got %d requests run, want 0", served)
	}
	c.request(c.dial())
}

// TestHeaderTimeoutWithUnreadBytes guards against requests that run, or connections that stay open,
// when the header timeout passes before the server reads the first bytes, as on a busy machine.
func TestHeaderTimeoutWithUnreadBytes(t *testing.T) {
	c := newTestServer(t, serverTimeouts{header: time.Nanosecond, idle: longTimeout})
	unread := c.dial()
	c.write(unread, "GET / HTTP/1.1\r\nHost: a.exam")
	c.waitForClose(unread)
	if served := c.served.Load(); served != 0 {
		t.Fatalf("got %d requests run, want 0", served)
	}
}

func TestIdleTimeoutClosesConnection(t *testing.T) {
	c := newTestServer(t, serverTimeouts{header: longTimeout, idle: 20 * time.Millisecond})
	idle := c.dial()
	c.request(idle)
	c.waitForClose(idle)
}

// TestNewConnectionsUseCurrentTimeouts checks that a change of the configuration applies to new
// connections only; open ones keep the timeouts with which they were accepted.
func TestNewConnectionsUseCurrentTimeouts(t *testing.T) {
	c := newTestServer(t, serverTimeouts{header: longTimeout, idle: longTimeout})
	before := c.dial()
	c.request(before)
	c.timeouts.Store(&serverTimeouts{header: 20 * time.Millisecond, idle: longTimeout})
	after := c.dial()
	c.write(after, "GET / HTTP/1.1\r\n")
	c.waitForClose(after)
	c.request(before)
}

// TestShutdownCoversAllTimeouts checks that Shutdown closes connections of every set of timeouts.
func TestShutdownCoversAllTimeouts(t *testing.T) {
	c := newTestServer(t, serverTimeouts{header: longTimeout, idle: longTimeout})
	first := c.dial()
	c.request(first)
	c.timeouts.Store(&serverTimeouts{header: longTimeout, idle: 2 * longTimeout})
	second := c.dial()
	c.request(second)
	if err := c.server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	c.waitForClose(first)
	c.waitForClose(second)
	if connection, err := net.Dial("tcp", c.server.listener.Addr().String()); err == nil {
		_ = connection.Close()
		t.Error("dial after Shutdown: got a connection, want an error")
	}
}
