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

// backend responds to the n-th request on a connection with the text that reply returns for it. An
// empty text closes the connection.
type backend struct {
	listener    net.Listener
	connections atomic.Int32
	requests    atomic.Int32
	running     sync.WaitGroup
	socket      atomic.Pointer[net.Conn] // accepted last
}

func (b *backend) lastSocket() net.Conn { return *b.socket.Load() }

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
			b.socket.Store(&socket)
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
		HeadBytes: 64 << 10, BodyBytes: 100, ResponseBytes: 1 << 30, MaxSkippedResponses: 1,
	}, prometheus.NewRegistry())
	t.Cleanup(client.Close)
	return client
}

func request() Message {
	return Message{Method: http.MethodGet, Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\n")}
}

func isMatch(response *Response) (bool, error) { return response.Header.Get("Id") != "other", nil }

func doGet(t *testing.T, client *Client, target Target) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.Do(ctx, target, request(), isMatch)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestConnectionReuse sends two requests and counts the connections that they use. A connection may
// only be reused if the response leaves no doubt about its state.
func TestConnectionReuse(t *testing.T) {
	for _, test := range []struct {
		name, reply string
		connections int32
		fails       bool
	}{
		{"complete", okResponse, 1, false},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1, false},
		{"interim response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, 1, false},
		{"Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 2, false},
		{"Keep-Alive of zero", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2, false},
		{"Keep-Alive of a minute", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok", 1, false},
		{"surplus bytes", okResponse + "more", 2, false},
		{"response to another request first", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno" + okResponse, 2, false},
		{"only responses to other requests", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno", 2, true},
		{"not HTTP", "nonsense\r\n\r\n", 2, true},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + fmt.Sprintf("%0101d", 1), 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBackend(t, func(int, int) string { return test.reply })
			client := newClient(t, 4)
			for range 2 {
				response, err := doGet(t, client, b.target())
				if (err != nil) != test.fails {
					t.Fatalf("response %+v, error %v, want an error: %v", response, err, test.fails)
				}
				if err == nil && string(response.Body) != "ok" {
					t.Errorf("body %q, want %q", response.Body, "ok")
				}
			}
			client.Close()
			if got := b.connections.Load(); got != test.connections {
				t.Errorf("%d connections, want %d", got, test.connections)
			}
			if got := b.requests.Load(); got != 2 {
				t.Errorf("%d requests were sent, want 2", got)
			}
		})
	}
}

// TestTruncatedResponsesAreErrors checks that a truncated response is an error which states that
// the request may have run, and that the request is not resent.
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
			t.Errorf("%q: error %v, want a TransportError with Sent", text, err)
		}
		if got := b.requests.Load(); got != 1 {
			t.Errorf("%q: sent %d times, want once", text, got)
		}
		client.Close()
	}
}

// TestRequestIsSentOnceOnBrokenConnection closes the connection on its second request. That request
// must fail and must not be resent.
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
		t.Errorf("error %v after %d requests, want a TransportError with Sent after 2", err, b.requests.Load())
	}
	if _, err := doGet(t, client, b.target()); err != nil {
		t.Errorf("request on a new connection: %v", err)
	}
}

// TestUnreachableTargetIsReportedAsNotSent checks that a failed dial is reported as a request that
// was not sent.
func TestUnreachableTargetIsReportedAsNotSent(t *testing.T) {
	b := newBackend(t, func(int, int) string { return okResponse })
	_ = b.listener.Close()
	_, err := doGet(t, newClient(t, 1), b.target())
	var transport *leaf.TransportError
	if !errors.As(err, &transport) || transport.Sent {
		t.Errorf("error %v, want a TransportError without Sent", err)
	}
}

// TestConnectionLimit sends many concurrent requests over few connections, and cancels some of
// them.
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
		t.Errorf("%d of 100 requests served, want at least 90", served.Load())
	}
	if got := b.connections.Load(); got > connections+10 {
		t.Errorf("%d connections were opened, want at most %d, with 10 requests cancelled", got, connections+10)
	}
}

// TestRetainClosesDroppedTargets checks that Retain closes the connections to targets that are
// gone: a new incarnation at the same address gets its own connections.
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
		t.Errorf("%d connections, want 2", got)
	}
}

// FuzzResponse feeds arbitrary bytes to the response reader. It must terminate, and an accepted
// response must be within the limits.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5, max=1\r\n\r\nrest"))
	f.Add([]byte("nonsense"))
	client := New(Config{ConnectionsPerTarget: 1, IdleTimeout: time.Minute, HeadBytes: 64 << 10, BodyBytes: 100, ResponseBytes: 1 << 30, MaxSkippedResponses: 1}, prometheus.NewRegistry())
	f.Fuzz(func(t *testing.T, content []byte) {
		near, far := net.Pipe()
		go func() { _, _ = far.Write(content); _ = far.Close() }()
		owner := newPool(client, Target{})
		arriving := &inflow{socket: near, client: client}
		c := &connection{pool: owner, socket: near, inflow: arriving, reader: bufio.NewReader(arriving)}
		response, idle, err := c.receiveMatching(&exchange{method: http.MethodGet, match: isMatch})
		_ = near.Close()
		if err == nil && (response == nil || int64(len(response.Body)) > client.config.BodyBytes || idle > client.config.IdleTimeout) {
			t.Errorf("accepted response %+v with idle time %v, want it within the limits", response, idle)
		}
	})
}

// TestHeadResponseHasNoBody checks that the response to HEAD has no body, whatever its
// Content-Length, and that its connection is reused.
func TestHeadResponseHasNoBody(t *testing.T) {
	b := newBackend(t, func(int, int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" })
	client := newClient(t, 1)
	message := Message{Method: http.MethodHead, Head: []byte("HEAD /x HTTP/1.1\r\nHost: h\r\n")}
	for range 2 {
		response, err := client.Do(t.Context(), b.target(), message, isMatch)
		if err != nil || len(response.Body) != 0 {
			t.Fatalf("response %+v, error %v, want an empty body", response, err)
		}
	}
	if got := b.connections.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// TestCancelledRequestSparesTheNextOne guards against a request that is cut off by the cancellation
// of an earlier one on its connection: the earlier request is cancelled while its response arrives,
// and the next one gets the connection in the same moment.
func TestCancelledRequestSparesTheNextOne(t *testing.T) {
	const rounds = 2000
	b := newBackend(t, func(int, int) string { return okResponse })
	client := newClient(t, 1)
	for round := range rounds {
		ctx, cancel := context.WithCancel(context.Background())
		cancelAtResponse := func(*Response) (bool, error) {
			cancel()
			return true, nil
		}
		var earlier sync.WaitGroup
		earlier.Go(func() { _, _ = client.Do(ctx, b.target(), request(), cancelAtResponse) })
		if _, err := doGet(t, client, b.target()); err != nil {
			t.Errorf("round %d: got error %v, want none", round, err)
		}
		earlier.Wait()
		cancel()
	}
}
