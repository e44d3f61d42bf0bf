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

const longTime = time.Minute

// callers is a callerServer whose times a test can change.
type callers struct {
	*testing.T
	server *callerServer
	times  atomic.Pointer[callerTimes]
	served atomic.Int64
}

func newCallers(t *testing.T, times callerTimes) *callers {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &callers{T: t}
	c.times.Store(&times)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { c.served.Add(1) })
	c.server = newCallerServer(listener, handler, func() callerTimes { return *c.times.Load() })
	ended := make(chan error, 1)
	go func() { ended <- c.server.Serve() }()
	t.Cleanup(func() {
		if err := c.server.Shutdown(context.Background()); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		if err := <-ended; err != http.ErrServerClosed {
			t.Errorf("serve: %v", err)
		}
	})
	return c
}

func (c *callers) dial() net.Conn {
	c.Helper()
	dialled, err := net.Dial("tcp", c.server.listener.Addr().String())
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() { _ = dialled.Close() })
	return dialled
}

func (c *callers) write(to net.Conn, text string) {
	c.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		c.Fatal(err)
	}
}

// ask sends a whole request and reads its answer.
func (c *callers) ask(through net.Conn) {
	c.Helper()
	c.write(through, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(through), nil)
	if err != nil {
		c.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		c.Fatalf("status %d", response.StatusCode)
	}
}

// ends reads until the server closes the connection; the test's own time limit
// ends a wait for a server that does not. A close with bytes that the server has
// not read comes as a reset.
func (c *callers) ends(connection net.Conn) {
	c.Helper()
	if answer, err := io.ReadAll(connection); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		c.Fatalf("%q, %v", answer, err)
	}
}

func TestSlowHeaderEndsTheConnectionAndNoRequestRuns(t *testing.T) {
	c := newCallers(t, callerTimes{header: 20 * time.Millisecond, idle: longTime})
	slow := c.dial()
	c.write(slow, "GET / HTTP/1.1\r\nHost: a.exam")
	c.ends(slow)
	if served := c.served.Load(); served != 0 {
		t.Fatalf("%d requests ran", served)
	}
	c.ask(c.dial())
}

// TestHeaderWhoseTimeIsOverUnread: the server closes the connection with bytes in
// it that it has not read, as it does when a busy machine lets it read late.
func TestHeaderWhoseTimeIsOverUnread(t *testing.T) {
	c := newCallers(t, callerTimes{header: time.Nanosecond, idle: longTime})
	unread := c.dial()
	c.write(unread, "GET / HTTP/1.1\r\nHost: a.exam")
	c.ends(unread)
	if served := c.served.Load(); served != 0 {
		t.Fatalf("%d requests ran", served)
	}
}

func TestIdleConnectionEndsAfterTheTimeAllowed(t *testing.T) {
	c := newCallers(t, callerTimes{header: longTime, idle: 20 * time.Millisecond})
	resting := c.dial()
	c.ask(resting)
	c.ends(resting)
}

// TestTimesFollowTheConfiguration gives new connections the times in force,
// and leaves those that stand as they were accepted.
func TestTimesFollowTheConfiguration(t *testing.T) {
	c := newCallers(t, callerTimes{header: longTime, idle: longTime})
	before := c.dial()
	c.ask(before)
	c.times.Store(&callerTimes{header: 20 * time.Millisecond, idle: longTime})
	after := c.dial()
	c.write(after, "GET / HTTP/1.1\r\n")
	c.ends(after)
	c.ask(before)
}

// TestShutdownServesWhatIsRunning covers connections of every set of times.
func TestShutdownServesWhatIsRunning(t *testing.T) {
	c := newCallers(t, callerTimes{header: longTime, idle: longTime})
	first := c.dial()
	c.ask(first)
	c.times.Store(&callerTimes{header: longTime, idle: 2 * longTime})
	second := c.dial()
	c.ask(second)
	if err := c.server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	c.ends(first)
	c.ends(second)
	if dialled, err := net.Dial("tcp", c.server.listener.Addr().String()); err == nil {
		_ = dialled.Close()
		t.Error("accepted after Shutdown")
	}
}
