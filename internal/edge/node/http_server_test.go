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

	"github.com/micaplank/micaplank/internal/intake"
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
	s := &testServer{T: t}
	s.timeouts.Store(&timeouts)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { s.served.Add(1) })
	s.server = newHTTPServer(listener, handler, func() serverTimeouts { return *s.timeouts.Load() }, intake.NewGuard(intake.Config{Connections: 1000, Bytes: 1 << 30, OnClose: func(intake.Bound) {}}))
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.server.Serve() }()
	t.Cleanup(func() {
		if err := s.server.Shutdown(context.Background()); err != nil {
			t.Errorf("Shutdown: got error %v, want none", err)
		}
		if err := <-serveErr; err != http.ErrServerClosed {
			t.Errorf("Serve: got %v, want %v", err, http.ErrServerClosed)
		}
	})
	return s
}

func (s *testServer) dial() net.Conn {
	s.Helper()
	connection, err := net.Dial("tcp", s.server.listener.Addr().String())
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = connection.Close() })
	return connection
}

func (s *testServer) write(connection net.Conn, text string) {
	s.Helper()
	if _, err := io.WriteString(connection, text); err != nil {
		s.Fatal(err)
	}
}

// request sends a complete request and reads its response.
func (s *testServer) request(connection net.Conn) {
	s.Helper()
	s.write(connection, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		s.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		s.Fatalf("got status %d, want %d", response.StatusCode, http.StatusOK)
	}
}

// waitForClose reads until the server closes the connection; the time limit of the test run ends
// the wait for a server that never does. If the server closes with unread bytes, the client sees a
// reset.
func (s *testServer) waitForClose(connection net.Conn) {
	s.Helper()
	if received, err := io.ReadAll(connection); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		s.Fatalf("reading until the server closes the connection: got %q and error %v, want EOF or a reset", received, err)
	}
}

func TestHeaderTimeoutClosesConnectionWithoutRequest(t *testing.T) {
	s := newTestServer(t, serverTimeouts{header: 20 * time.Millisecond, idle: longTimeout})
	slow := s.dial()
	s.write(slow, "GET / HTTP/1.1\r\nHost: a.exam")
	s.waitForClose(slow)
	if served := s.served.Load(); served != 0 {
		t.Fatalf("got %d requests run, want 0", served)
	}
	s.request(s.dial())
}

// TestHeaderTimeoutWithUnreadBytes guards against requests that run, or connections that stay open,
// when the header timeout passes before the server reads the first bytes, as on a busy machine.
func TestHeaderTimeoutWithUnreadBytes(t *testing.T) {
	s := newTestServer(t, serverTimeouts{header: time.Nanosecond, idle: longTimeout})
	unread := s.dial()
	s.write(unread, "GET / HTTP/1.1\r\nHost: a.exam")
	s.waitForClose(unread)
	if served := s.served.Load(); served != 0 {
		t.Fatalf("got %d requests run, want 0", served)
	}
}

func TestIdleTimeoutClosesConnection(t *testing.T) {
	s := newTestServer(t, serverTimeouts{header: longTimeout, idle: 20 * time.Millisecond})
	idleConnection := s.dial()
	s.request(idleConnection)
	s.waitForClose(idleConnection)
}

// TestNewConnectionsUseCurrentTimeouts checks that a change of the configuration applies to new
// connections only; open ones keep the timeouts with which they were accepted.
func TestNewConnectionsUseCurrentTimeouts(t *testing.T) {
	s := newTestServer(t, serverTimeouts{header: longTimeout, idle: longTimeout})
	before := s.dial()
	s.request(before)
	s.timeouts.Store(&serverTimeouts{header: 20 * time.Millisecond, idle: longTimeout})
	after := s.dial()
	s.write(after, "GET / HTTP/1.1\r\n")
	s.waitForClose(after)
	s.request(before)
}

// TestShutdownCoversAllTimeouts checks that Shutdown closes connections of every set of timeouts.
func TestShutdownCoversAllTimeouts(t *testing.T) {
	s := newTestServer(t, serverTimeouts{header: longTimeout, idle: longTimeout})
	first := s.dial()
	s.request(first)
	s.timeouts.Store(&serverTimeouts{header: longTimeout, idle: 2 * longTimeout})
	second := s.dial()
	s.request(second)
	if err := s.server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	s.waitForClose(first)
	s.waitForClose(second)
	if connection, err := net.Dial("tcp", s.server.listener.Addr().String()); err == nil {
		_ = connection.Close()
		t.Error("dial after Shutdown: got a connection, want an error")
	}
}
