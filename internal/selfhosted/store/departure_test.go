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

// behaviour is what the raw server does with one connection.
type behaviour func(net.Conn)

// rawServer counts the requests and the bytes that reach it.
type rawServer struct {
	listener net.Listener
	requests atomic.Int64
	bytes    atomic.Int64
	working  sync.WaitGroup
}

// stop waits until everything that arrived has been read.
func (s *rawServer) stop() {
	s.listener.Close()
	s.working.Wait()
}

func startRaw(t *testing.T, behave func(*rawServer) behaviour) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &rawServer{listener: listener}
	server.working.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			server.working.Go(func() {
				defer connection.Close()
				behave(server)(countingConn{connection, server})
			})
		}
	})
	t.Cleanup(server.stop)
	return server
}

type countingConn struct {
	net.Conn
	server *rawServer
}

func (c countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.server.bytes.Add(int64(count))
	return count, err
}

// answer reads one whole request and writes the given response.
func (s *rawServer) answer(connection net.Conn, reader *bufio.Reader, response string) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.requests.Add(1)
	_, err = io.WriteString(connection, response)
	return err == nil
}

func clientOf(t *testing.T, endpoints ...string) *Client {
	t.Helper()
	config := Config{Timeout: 2 * time.Second}
	for _, endpoint := range endpoints {
		config.Endpoints = append(config.Endpoints, netip.MustParseAddrPort(endpoint))
	}
	client, err := New(config, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

const created = "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n" + `{"succeeded":true}`

// replayable posts as net/http does by default, with a body that it can rewind.
func replayable(client *http.Client, url string) error {
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

// repeatingServers answer the first request of a connection, and make
// net/http want to send the second one again.
var repeatingServers = map[string]func(*rawServer) behaviour{
	"connection lost after the bytes left": func(s *rawServer) behaviour {
		return func(connection net.Conn) {
			reader := bufio.NewReader(connection)
			if s.answer(connection, reader, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}") {
				s.answer(connection, reader, "")
			}
		}
	},
	"redirect": func(s *rawServer) behaviour {
		return func(connection net.Conn) {
			reader := bufio.NewReader(connection)
			for s.answer(connection, reader, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n") {
			}
		}
	},
}

func TestNothingIsSentTwice(t *testing.T) {
	for name, behave := range repeatingServers {
		t.Run(name, func(t *testing.T) {
			repeats := func(post func(address string, client *Client) error) bool {
				server := startRaw(t, behave)
				client := clientOf(t, server.listener.Addr().String())
				for call := range int64(2) {
					_ = post(server.listener.Addr().String(), client)
					if server.requests.Load() > call+1 {
						return true
					}
				}
				return false
			}
			if repeats(func(_ string, client *Client) error {
				_, err := client.CreateIfAbsent(context.Background(), "/a", nil)
				return err
			}) {
				t.Error("the client sent a transaction twice")
			}
			if !repeats(func(address string, _ *Client) error {
				plain := &http.Client{Transport: newTransport(time.Second)}
				defer plain.CloseIdleConnections()
				return errors.Join(replayable(plain, "http://"+address+"/"), replayable(plain, "http://"+address+"/"))
			}) {
				t.Error("a plain net/http client did not repeat: the server proves nothing")
			}
		})
	}
}

func TestUnreachableEndpointIsPassedOver(t *testing.T) {
	server := startRaw(t, func(s *rawServer) behaviour {
		return func(connection net.Conn) { s.answer(connection, bufio.NewReader(connection), created) }
	})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	client := clientOf(t, closed.Addr().String(), server.listener.Addr().String())
	if result, err := client.CreateIfAbsent(context.Background(), "/a", nil); err != nil || !result.Created {
		t.Fatalf("expected the second endpoint to answer: %+v, %v", result, err)
	}
	alone := clientOf(t, closed.Addr().String())
	_, err = alone.CreateIfAbsent(context.Background(), "/a", nil)
	if KindOf(err) != KindUnreachable || MaybeApplied(err) {
		t.Fatalf("expected an unreachable store, got %v", err)
	}
}

// Whenever a byte of a call has reached the server, a failed call says that it
// may have been applied.
func TestBytesThatLeftAreReported(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	fates := map[bool]int{}
	for range 300 {
		cut, pause := random.IntN(400), time.Duration(random.IntN(300))*time.Microsecond
		server := startRaw(t, func(*rawServer) behaviour {
			return func(connection net.Conn) { _, _ = io.CopyN(io.Discard, connection, int64(cut)) }
		})
		client := clientOf(t, server.listener.Addr().String())
		ctx, cancel := context.WithTimeout(context.Background(), pause)
		_, err := client.CreateIfAbsent(ctx, "/a", nil)
		cancel()
		if err == nil {
			t.Fatal("the server never answers")
		}
		fates[MaybeApplied(err)]++
		client.Close()
		server.stop()
		if !MaybeApplied(err) && server.bytes.Load() > 0 {
			t.Fatalf("%d bytes arrived, but: %v", server.bytes.Load(), err)
		}
	}
	t.Logf("may have been applied: %d, certainly not: %d", fates[true], fates[false])
}

type recordingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *recordingConn) Write(bytes []byte) (int, error) {
	c.written.Add(int64(len(bytes)))
	return len(bytes), nil
}

func (c *recordingConn) Close() error { return nil }

func TestSealedConnectionSendsNothingUncounted(t *testing.T) {
	for range 20000 {
		raw := &recordingConn{}
		connection := &countedConnection{Conn: raw}
		var writer sync.WaitGroup
		writer.Go(func() { _, _ = connection.Write([]byte("x")) })
		counted := connection.seal()
		writer.Wait()
		if counted == 0 && raw.written.Load() > 0 {
			t.Fatal("a byte left after the seal had counted none")
		}
	}
}
