package http1

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// endlessBytes is when an endless response of these tests ends after all, and endlessBound what a
// client may have read of it by then, with what the sockets hold.
const (
	endlessBytes = 128 << 20
	endlessBound = 48 << 20
)

const chunkedHead = "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n"

// endlessForms are what a faulty back end repeats without end behind a beginning.
var endlessForms = []struct{ name, beginning, piece string }{
	{"status line", "HTTP/1.1 200 ", "a"},
	{"header line", "HTTP/1.1 200 OK\r\nLong: ", "a"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "Many: a\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	{"no response", "", "garbage "},
	{"chunks", chunkedHead, "1\r\na\r\n"},
	{"chunk extension", chunkedHead + "1;", "a"},
	{"trailers", chunkedHead + "0\r\n", "Many: a\r\n"},
	{"body without length", "HTTP/1.1 200 OK\r\nId: own\r\n\r\n", "a"},
}

// endlessBackend answers each request with a form without end.
type endlessBackend struct {
	listener net.Listener
	mutex    sync.Mutex
	most     int // bytes that one connection took
	writers  sync.WaitGroup
}

func newEndlessBackend(t *testing.T, beginning, piece string) *endlessBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &endlessBackend{listener: listener}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			b.writers.Go(func() { b.serve(socket, beginning, strings.Repeat(piece, 1+4096/len(piece))) })
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return b
}

func (b *endlessBackend) target() Target {
	return Target{Address: b.listener.Addr().(*net.TCPAddr).AddrPort(), BootID: "one"}
}

func (b *endlessBackend) serve(socket net.Conn, beginning, piece string) {
	defer func() { _ = socket.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(socket)); err != nil {
		return
	}
	sent, err := socket.Write([]byte(beginning))
	for err == nil && sent < endlessBytes {
		written := 0
		written, err = socket.Write([]byte(piece))
		sent += written
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.most = max(b.most, sent)
}

// TestResponseWithoutEndIsCutOff guards against a node that keeps the bytes of a faulty back end until
// it runs out of memory.
func TestResponseWithoutEndIsCutOff(t *testing.T) {
	for _, form := range endlessForms {
		t.Run(form.name, func(t *testing.T) {
			b := newEndlessBackend(t, form.beginning, form.piece)
			client := newClient(t, 1)
			response, err := doGet(t, client, b.target())
			if err == nil {
				t.Errorf("got response %d with %d bytes, want an error", response.Status, len(response.Body))
			}
			b.writers.Wait()
			if b.most > endlessBound {
				t.Errorf("the back end sent %d bytes until the connection was closed, want at most %d", b.most, endlessBound)
			}
		})
	}
}

// TestResponsesOfAllConnectionsAreBounded guards against many back ends whose responses are each below
// the limit, and together above the memory of the node.
func TestResponsesOfAllConnectionsAreBounded(t *testing.T) {
	const connections, bound = 20, 1 << 20
	b := newEndlessBackend(t, "HTTP/1.1 200 OK\r\nId: own\r\n\r\n", "a")
	client := newClient(t, connections)
	client.config.BodyBytes, client.config.ResponseBytes = 1<<30, bound
	var requests sync.WaitGroup
	for range connections {
		requests.Go(func() {
			if _, err := doGet(t, client, b.target()); err == nil {
				t.Error("got a response without end, want an error")
			}
		})
	}
	requests.Wait()
	b.writers.Wait()
	if b.most > endlessBound {
		t.Errorf("a back end sent %d bytes until its connection was closed, want at most %d", b.most, endlessBound)
	}
	if held := client.held.Load(); held != 0 {
		t.Errorf("%d bytes are counted after the last response, want 0", held)
	}
	if got := testutil.ToFloat64(client.metrics.oversized.WithLabelValues(boundAll)); got != connections {
		t.Errorf("counted %v responses that were given up, want %d", got, connections)
	}
}
