package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

const interimResponse = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"

// cutHeadForms are heads of responses of which a back end sends a beginning, behind what it sends
// whole.
var cutHeadForms = []struct{ name, before, head string }{
	{"length", "", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: own\r\nStamp: s.1\r\n\r\n"},
	{"length last", "", "HTTP/1.1 200 OK\r\nId: own\r\nStamp: s.1\r\nContent-Length: 12\r\n\r\n"},
	{"no body", "", "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 0\r\n\r\n"},
	{"no content", "", "HTTP/1.1 204 No Content\r\nId: own\r\n\r\n"},
	{"chunks", "", "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"body until the close", "", "HTTP/1.1 200 OK\r\nId: own\r\nConnection: close\r\n\r\n"},
	{"former protocol", "", "HTTP/1.0 200 OK\r\nId: own\r\n\r\n"},
	{"short line ends", "", "HTTP/1.1 200 OK\nId: own\nStamp: s.1\n\n"},
	{"folded header", "", "HTTP/1.1 200 OK\r\nId: own\r\nStamp: s\r\n .1\r\n\r\n"},
	{"behind an interim response", interimResponse, "HTTP/1.1 200 OK\r\nId: own\r\n\r\n"},
	{"of an interim response", "", interimResponse},
	{"behind another response", otherResponse, "HTTP/1.1 200 OK\r\nId: own\r\n\r\n"},
}

// cutBackend answers HEAD requests on a connection, and closes it after a text that answers any
// other request.
type cutBackend struct {
	listener net.Listener
	reset    bool
	running  sync.WaitGroup

	mutex sync.Mutex
	text  string
}

func newCutBackend(t *testing.T, reset bool) *cutBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &cutBackend{listener: listener, reset: reset}
	b.running.Go(func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			b.running.Go(func() { b.serve(socket) })
		}
	})
	t.Cleanup(func() { _ = listener.Close(); b.running.Wait() })
	return b
}

func (b *cutBackend) serve(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	for {
		read, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if read.Method == http.MethodHead {
			_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 12\r\n\r\n")
			continue
		}
		b.mutex.Lock()
		text := b.text
		b.mutex.Unlock()
		_, _ = io.WriteString(socket, text)
		if b.reset {
			_ = socket.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// get sends a request to which the back end answers with a text, on a connection that has carried a
// HEAD request if afterHead is set.
func (b *cutBackend) get(t *testing.T, text string, afterHead bool) (*Response, error) {
	t.Helper()
	b.mutex.Lock()
	b.text = text
	b.mutex.Unlock()
	client := newClient(t, 1)
	defer client.Close()
	target := Target{Address: netip.MustParseAddrPort(b.listener.Addr().String()), BootID: "one"}
	if afterHead {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if _, err := client.Do(ctx, target, Message{Method: http.MethodHead, Head: []byte("HEAD /x HTTP/1.1\r\nHost: h\r\n")}, isMatch); err != nil {
			t.Fatalf("HEAD request: %v", err)
		}
	}
	return doGet(t, client, target)
}

// TestResponseCutInItsHeadIsAnError guards against a success with an empty or short body, framed as
// whole: the back end ends in the middle of the head, so that lines that frame the body are missing.
// Each head is cut at each of its bytes.
func TestResponseCutInItsHeadIsAnError(t *testing.T) {
	for _, reset := range []bool{false, true} {
		b := newCutBackend(t, reset)
		for _, form := range cutHeadForms {
			for size := range len(form.head) {
				text := form.before + form.head[:size]
				if response, err := b.get(t, text, size%2 == 1); err == nil {
					t.Errorf("%s, reset %v, cut after %q: got response %d with body %q, want an error", form.name, reset, text, response.Status, response.Body)
				}
			}
		}
	}
}

// TestWholeHeadsAreResponses checks that the forms of TestResponseCutInItsHeadIsAnError are responses
// if nothing is cut off.
func TestWholeHeadsAreResponses(t *testing.T) {
	bodies := map[string]string{"length": strings.Repeat("b", 12), "length last": strings.Repeat("b", 12), "chunks": "0\r\n\r\n", "of an interim response": okResponse}
	b := newCutBackend(t, false)
	for _, form := range cutHeadForms {
		if _, err := b.get(t, form.before+form.head+bodies[form.name], true); err != nil {
			t.Errorf("%s: %v", form.name, err)
		}
	}
}
