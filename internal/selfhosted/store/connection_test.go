package store

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// connectionHandler serves one connection of a tcpServer.
type connectionHandler func(net.Conn)

// tcpServer counts the requests and the bytes that it receives.
type tcpServer struct {
	listener      net.Listener
	requests      atomic.Int64
	receivedBytes atomic.Int64
	handlers      sync.WaitGroup
}

// stop closes the listener and waits until all handlers have returned.
func (s *tcpServer) stop() {
	s.listener.Close()
	s.handlers.Wait()
}

func startTCPServer(t *testing.T, newHandler func(*tcpServer) connectionHandler) *tcpServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &tcpServer{listener: listener}
	server.handlers.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			server.handlers.Go(func() {
				defer connection.Close()
				newHandler(server)(byteCountingConn{connection, server})
			})
		}
	})
	t.Cleanup(server.stop)
	return server
}

type byteCountingConn struct {
	net.Conn
	server *tcpServer
}

func (c byteCountingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.server.receivedBytes.Add(int64(count))
	return count, err
}

// respond reads one complete request and writes the given response.
func (s *tcpServer) respond(connection net.Conn, reader *bufio.Reader, response string) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.requests.Add(1)
	_, err = io.WriteString(connection, response)
	return err == nil
}

func newTestClient(t *testing.T, endpoints ...string) *Client {
	t.Helper()
	config := Config{Timeout: 2 * time.Second}
	for _, endpoint := range endpoints {
		config.Endpoints = append(config.Endpoints, netip.MustParseAddrPort(endpoint))
	}
	client, err := NewClient(config, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

const createdResponse = "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n" + `{"succeeded":true}`

// postReplayable sends a request that net/http can replay, because it has GetBody and an
// idempotency key.
func postReplayable(client *http.Client, url string) error {
	request, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		return err
	}
	body := []byte(`{}`)
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	request.Body, _ = request.GetBody()
	request.ContentLength = int64(len(body))
	request.Header.Set("Idempotency-Key", "k")
	reply, err := client.Do(request)
	if err == nil {
		reply.Body.Close()
	}
	return err
}

// replayingServers answer the first request of a connection in ways that make net/http replay
// requests.
var replayingServers = map[string]func(*tcpServer) connectionHandler{
	"connection lost after the bytes left": func(s *tcpServer) connectionHandler {
		return func(connection net.Conn) {
			reader := bufio.NewReader(connection)
			if s.respond(connection, reader, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}") {
				s.respond(connection, reader, "")
			}
		}
	},
	"redirect": func(s *tcpServer) connectionHandler {
		return func(connection net.Conn) {
			reader := bufio.NewReader(connection)
			for s.respond(connection, reader, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n") {
			}
		}
	},
}

func TestRequestIsNotSentTwice(t *testing.T) {
	for name, newHandler := range replayingServers {
		t.Run(name, func(t *testing.T) {
			isRepeated := func(post func(address string, client *Client) error) bool {
				server := startTCPServer(t, newHandler)
				client := newTestClient(t, server.listener.Addr().String())
				for call := range int64(2) {
					_ = post(server.listener.Addr().String(), client)
					if server.requests.Load() > call+1 {
						return true
					}
				}
				return false
			}
			if isRepeated(func(_ string, client *Client) error {
				_, err := client.CreateIfAbsent(context.Background(), "/a", nil)
				return err
			}) {
				t.Error("server received a transaction more than once, want once")
			}
			if !isRepeated(func(address string, _ *Client) error {
				plain := &http.Client{Transport: newTransport(time.Second)}
				defer plain.CloseIdleConnections()
				return errors.Join(postReplayable(plain, "http://"+address+"/"), postReplayable(plain, "http://"+address+"/"))
			}) {
				t.Error("plain net/http client did not replay the request: the server does not exercise replays")
			}
		})
	}
}

func TestCallFailsOverFromUnreachableEndpoint(t *testing.T) {
	server := startTCPServer(t, func(s *tcpServer) connectionHandler {
		return func(connection net.Conn) { s.respond(connection, bufio.NewReader(connection), createdResponse) }
	})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	client := newTestClient(t, closed.Addr().String(), server.listener.Addr().String())
	if result, err := client.CreateIfAbsent(context.Background(), "/a", nil); err != nil || !result.Created {
		t.Fatalf("CreateIfAbsent returned %+v, %v; want Created from the second endpoint", result, err)
	}
	single := newTestClient(t, closed.Addr().String())
	_, err = single.CreateIfAbsent(context.Background(), "/a", nil)
	if ErrorKind(err) != KindUnreachable || MaybeApplied(err) {
		t.Fatalf("CreateIfAbsent returned error %v, want kind %q and not applied", err, KindUnreachable)
	}
}

// TestErrorIsMaybeAppliedIfServerReceivedBytes truncates connections and cancels calls at random
// times. A failed call must be reported as maybe applied if the server received any byte of it.
func TestErrorIsMaybeAppliedIfServerReceivedBytes(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	outcomes := map[bool]int{}
	for range 300 {
		readLimit, timeout := random.IntN(400), time.Duration(random.IntN(300))*time.Microsecond
		server := startTCPServer(t, func(*tcpServer) connectionHandler {
			return func(connection net.Conn) { _, _ = io.CopyN(io.Discard, connection, int64(readLimit)) }
		})
		client := newTestClient(t, server.listener.Addr().String())
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		_, err := client.CreateIfAbsent(ctx, "/a", nil)
		cancel()
		if err == nil {
			t.Fatal("CreateIfAbsent returned no error, want one because the server never answers")
		}
		outcomes[MaybeApplied(err)]++
		client.Close()
		server.stop()
		if !MaybeApplied(err) && server.receivedBytes.Load() > 0 {
			t.Fatalf("server received %d bytes, but the error is not maybe applied: %v", server.receivedBytes.Load(), err)
		}
	}
	t.Logf("errors maybe applied: %d, not applied: %d", outcomes[true], outcomes[false])
}

type byteDiscardingConn struct {
	net.Conn
	writtenBytes atomic.Int64
}

func (c *byteDiscardingConn) Write(bytes []byte) (int, error) {
	c.writtenBytes.Add(int64(len(bytes)))
	return len(bytes), nil
}

func (c *byteDiscardingConn) Close() error { return nil }

func TestSealCountsEveryWriteThatSends(t *testing.T) {
	for range 20000 {
		discarding := &byteDiscardingConn{}
		connection := &countingConnection{Conn: discarding}
		var writer sync.WaitGroup
		writer.Go(func() { _, _ = connection.Write([]byte("x")) })
		counted := connection.seal()
		writer.Wait()
		if counted == 0 && discarding.writtenBytes.Load() > 0 {
			t.Fatal("seal counted 0 writes, but a write sent a byte")
		}
	}
}
