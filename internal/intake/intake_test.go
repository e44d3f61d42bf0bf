package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
)

// guardedServer is an HTTP server behind a Guard.
type guardedServer struct {
	*testing.T
	guard  *Guard
	server *httptest.Server
	closed map[Bound]*atomic.Int32
	block  chan struct{} // requests to /block run until it is closed
}

func newGuardedServer(t *testing.T, connections int, bytes int64) *guardedServer {
	t.Helper()
	s := &guardedServer{T: t, block: make(chan struct{}), closed: map[Bound]*atomic.Int32{BoundConnections: {}, BoundBytes: {}}}
	s.guard = NewGuard(Config{Connections: connections, Bytes: bytes, OnClose: func(bound Bound) { s.closed[bound].Add(1) }})
	s.server = httptest.NewUnstartedServer(http.HandlerFunc(s.serve))
	s.server.Listener = Listener{s.server.Listener, s.guard}
	Serve(s.server.Config)
	s.server.Start()
	t.Cleanup(s.server.Close)
	return s
}

func (s *guardedServer) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if request.URL.Path == "/block" {
		<-s.block
	}
	_, _ = fmt.Fprint(writer, len(body))
}

func (s *guardedServer) dial() net.Conn {
	s.Helper()
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send sends a request and returns the body of its answer.
func send(conn net.Conn, path, body string) (string, error) {
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body); err != nil {
		return "", err
	}
	return receive(conn)
}

func receive(conn net.Conn) (string, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// TestIdleConnectionsYieldToNewOnes checks that a connection without a request is closed before one
// that has been served, and that one with a running request stays.
func TestIdleConnectionsYieldToNewOnes(t *testing.T) {
	s := newGuardedServer(t, 3, 1<<30)
	running, served, silent := s.dial(), s.dial(), s.dial()
	result := make(chan string, 1)
	go func() {
		content, err := send(running, "/block", "ab")
		result <- fmt.Sprint(content, err)
	}()
	if got, err := send(served, "/", "abc"); err != nil || got != "3" {
		t.Fatalf("got %q, error %v, want 3", got, err)
	}
	s.eventually(func() bool { return s.guard.Usage().Connections == 3 })
	for range 2 {
		if got, err := send(s.dial(), "/", "abcd"); err != nil || got != "4" {
			t.Errorf("new connection: got %q, error %v, want 4", got, err)
		}
	}
	if _, err := silent.Read(make([]byte, 1)); err == nil {
		t.Error("the silent connection is open, want it closed")
	}
	close(s.block)
	if got := <-result; got != "2<nil>" {
		t.Errorf("running request: got %s, want 2", got)
	}
}

// eventually waits for a condition.
func (s *guardedServer) eventually(condition func() bool) {
	s.Helper()
	for !condition() {
		if s.Context().Err() != nil {
			s.Fatal("condition does not hold")
		}
	}
}

// TestLargestRequestYieldsMemory checks that a client that stops short of the end of its body is
// closed in favor of ordinary requests, and that its bytes are not counted any more.
func TestLargestRequestYieldsMemory(t *testing.T) {
	s := newGuardedServer(t, 100, 2_000_000)
	for range 20 {
		if _, err := fmt.Fprintf(s.dial(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n%s", strings.Repeat("b", 199_999)); err != nil {
			continue // closed while it sent
		}
		if got, err := send(s.dial(), "/", "abc"); err != nil || got != "3" {
			t.Fatalf("ordinary request: got %q, error %v, want 3", got, err)
		}
	}
	if usage := s.guard.Usage(); usage.Bytes > 2_000_000 {
		t.Errorf("got %d bytes in use, want at most 2000000", usage.Bytes)
	}
	if s.closed[BoundBytes].Load() == 0 {
		t.Error("no connection was closed for its bytes")
	}
}

// TestCountsReturnToZero checks that closed connections occupy nothing.
func TestCountsReturnToZero(t *testing.T) {
	s := newGuardedServer(t, 100, 1<<30)
	for range 5 {
		conn := s.dial()
		for range 3 {
			if _, err := send(conn, "/", "abc"); err != nil {
				t.Fatal(err)
			}
		}
		_ = conn.Close()
	}
	s.eventually(func() bool { return s.guard.Usage() == Usage{} })
}

// TestClosedRequestCountsUntilItIsReleased guards against open connections that fill the memory of
// closed ones before their server has let go of it.
func TestClosedRequestCountsUntilItIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := NewGuard(Config{Connections: 10, Bytes: 60_000, OnClose: func(Bound) {}})
		accept := func() *Conn {
			near, far := net.Pipe()
			go func() { _, _ = far.Write(make([]byte, 10_000)) }()
			accepted, _ := guard.Accept(near)
			accepted.setPhase(phaseBody)
			return accepted
		}
		large := accept()
		if read, err := large.Read(make([]byte, 10_000)); read != 10_000 || err != nil {
			t.Fatalf("got %d bytes, error %v, want 10000", read, err)
		}
		waiting := accept() // which takes the memory beyond its bound, so that the large one is closed
		done := make(chan struct{})
		go func() { _, _ = waiting.Read(make([]byte, 10)); close(done) }()
		synctest.Wait()
		select {
		case <-done:
			t.Error("the open connection was read, want it to wait for the memory of the closed one")
		default:
		}
		_ = large.Close()
		<-done
		_ = waiting.Close()
	})
}
