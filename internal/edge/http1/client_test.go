package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/micaplank/micaplank/internal/leaf"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// backend answers each request on a connection with the text that reply makes
// of its number on that connection; an empty text ends the connection.
type backend struct {
	listener    net.Listener
	connections atomic.Int32
	requests    atomic.Int32
	running     sync.WaitGroup
}

func newBackend(t *testing.T, reply func(connection, request int) string) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{listener: listener}
	b.running.Go(func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(b.connections.Add(1))
			b.running.Go(func() { b.serve(socket, number, reply) })
		}
	})
	t.Cleanup(func() { _ = listener.Close(); b.running.Wait() })
	return b
}

func (b *backend) serve(socket net.Conn, number int, reply func(connection, request int) string) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	for request := 1; ; request++ {
		read, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, read.Body)
		b.requests.Add(1)
		text := reply(number, request)
		if text == "" {
			return
		}
		if _, err := io.WriteString(socket, text); err != nil {
			return
		}
	}
}

func (b *backend) target() Target {
	return Target{Address: netip.MustParseAddrPort(b.listener.Addr().String()), BootID: "one"}
}

func newClient(t *testing.T, connections int) *Client {
	client := New(Config{
		ConnectionsPerTarget: connections, DialTimeout: time.Second, IdleTimeout: time.Minute,
		BodyBytes: 100, MaxSkipped: 1,
	}, prometheus.NewRegistry())
	t.Cleanup(client.Close)
	return client
}

func request() Message {
	return Message{Method: http.MethodGet, Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\n")}
}

func isMatch(response *Response) bool { return response.Header.Get("Id") != "other" }

func doGet(t *testing.T, client *Client, target Target) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.Do(ctx, target, request(), isMatch)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestConnectionsAreUsedAgainOnlyWithoutDoubt sends two requests, and counts
// the connections that they took.
func TestConnectionReuse(t *testing.T) {
	for _, test := range []struct {
		name, reply string
		connections int32
		fails       bool
	}{
		{"whole", okResponse, 1, false},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1, false},
		{"interim answer before", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, 1, false},
		{"asks to close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2, false},
		{"old protocol", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 2, false},
		{"no time to rest", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2, false},
		{"time to rest", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok", 1, false},
		{"surplus bytes", okResponse + "more", 2, false},
		{"another's answer first", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno" + okResponse, 2, false},
		{"only others' answers", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno", 2, true},
		{"no answer in the protocol", "nonsense\r\n\r\n", 2, true},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + fmt.Sprintf("%0101d", 1), 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBackend(t, func(int, int) string { return test.reply })
			client := newClient(t, 4)
			for range 2 {
				response, err := doGet(t, client, b.target())
				if (err != nil) != test.fails {
					t.Fatalf("%+v, %v", response, err)
				}
				if err == nil && string(response.Body) != "ok" {
					t.Errorf("body %q", response.Body)
				}
			}
			client.Close()
			if got := b.connections.Load(); got != test.connections {
				t.Errorf("%d connections, want %d", got, test.connections)
			}
			if got := b.requests.Load(); got != 2 {
				t.Errorf("%d requests were sent", got)
			}
		})
	}
}

// TestAnswersThatEndEarly are errors, and say that the request may have run.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"} {
		served := false
		b := newBackend(t, func(_, number int) string {
			if number > 1 || served {
				return ""
			}
			served = true
			return text
		})
		client := newClient(t, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, err := client.Do(ctx, b.target(), request(), isMatch)
		cancel()
		var transport *leaf.TransportError
		if !errors.As(err, &transport) || !transport.Sent {
			t.Errorf("%q: %v", text, err)
		}
		if got := b.requests.Load(); got != 1 {
			t.Errorf("%q: sent %d times", text, got)
		}
		client.Close()
	}
}

// TestBrokenConnectionIsNeverRepeated ends the connection at its second
// request: that request fails, and goes out once.
func TestRequestIsSentOnceOnBrokenConnection(t *testing.T) {
	b := newBackend(t, func(_, number int) string {
		if number == 1 {
			return okResponse
		}
		return ""
	})
	client := newClient(t, 1)
	if _, err := doGet(t, client, b.target()); err != nil {
		t.Fatal(err)
	}
	_, err := doGet(t, client, b.target())
	var transport *leaf.TransportError
	if !errors.As(err, &transport) || !transport.Sent || b.requests.Load() != 2 {
		t.Errorf("%v after %d requests", err, b.requests.Load())
	}
	if _, err := doGet(t, client, b.target()); err != nil {
		t.Errorf("on a new connection: %v", err)
	}
}

// TestUnreachableTargetSendsNothing and says so.
func TestUnreachableTargetIsReportedAsNotSent(t *testing.T) {
	b := newBackend(t, func(int, int) string { return okResponse })
	_ = b.listener.Close()
	_, err := doGet(t, newClient(t, 1), b.target())
	var transport *leaf.TransportError
	if !errors.As(err, &transport) || transport.Sent {
		t.Errorf("%v", err)
	}
}

// TestConnectionsAreBounded sends many requests at once over few connections,
// with some given up.
func TestConnectionLimit(t *testing.T) {
	const connections = 3
	b := newBackend(t, func(int, int) string {
		time.Sleep(time.Millisecond)
		return okResponse
	})
	client := newClient(t, connections)
	var running sync.WaitGroup
	var served atomic.Int32
	for number := range 100 {
		running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if number%10 == 0 {
				time.AfterFunc(2*time.Millisecond, cancel)
			}
			if _, err := client.Do(ctx, b.target(), request(), isMatch); err == nil {
				served.Add(1)
			}
		})
	}
	running.Wait()
	if served.Load() < 90 {
		t.Errorf("%d of 100 served", served.Load())
	}
	if got := b.connections.Load(); got > connections+10 {
		t.Errorf("%d connections were opened, and at most 10 were given up", got)
	}
}

// TestRetainDropsConnections to targets that are gone: a new incarnation at the
// same address gets connections of its own.
func TestRetainClosesDroppedTargets(t *testing.T) {
	b := newBackend(t, func(int, int) string { return okResponse })
	client := newClient(t, 1)
	target := b.target()
	for range 2 {
		if _, err := doGet(t, client, target); err != nil {
			t.Fatal(err)
		}
	}
	target.BootID = "two"
	client.Retain(map[Target]int{target: 1})
	if _, err := doGet(t, client, target); err != nil {
		t.Fatal(err)
	}
	if got := b.connections.Load(); got != 2 {
		t.Errorf("%d connections", got)
	}
}

// FuzzAnswer feeds the reader of answers any bytes: it must end, and what it
// accepts must be whole.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5, max=1\r\n\r\nrest"))
	f.Add([]byte("nonsense"))
	client := New(Config{ConnectionsPerTarget: 1, IdleTimeout: time.Minute, BodyBytes: 100, MaxSkipped: 1}, prometheus.NewRegistry())
	f.Fuzz(func(t *testing.T, content []byte) {
		near, far := net.Pipe()
		go func() { _, _ = far.Write(content); _ = far.Close() }()
		owner := newPool(client, Target{})
		c := &connection{pool: owner, socket: near, reader: bufio.NewReader(near)}
		response, idle, err := c.receiveMatching(&exchange{method: http.MethodGet, match: isMatch})
		_ = near.Close()
		if err == nil && (response == nil || int64(len(response.Body)) > client.config.BodyBytes || idle > client.config.IdleTimeout) {
			t.Errorf("accepted %+v, %v", response, idle)
		}
	})
}

// TestAnswerToHeadHasNoBody whatever length it names.
func TestHeadResponseHasNoBody(t *testing.T) {
	b := newBackend(t, func(int, int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" })
	client := newClient(t, 1)
	message := Message{Method: http.MethodHead, Head: []byte("HEAD /x HTTP/1.1\r\nHost: h\r\n")}
	for range 2 {
		response, err := client.Do(t.Context(), b.target(), message, isMatch)
		if err != nil || len(response.Body) != 0 {
			t.Fatalf("%+v, %v", response, err)
		}
	}
	if got := b.connections.Load(); got != 1 {
		t.Errorf("%d connections", got)
	}
}
