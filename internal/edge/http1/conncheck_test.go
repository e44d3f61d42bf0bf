package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
)

// TestAtMostOnceRequestSkipsClosedConnection closes an idle connection and sends a request before
// the reading goroutine can have run: GOMAXPROCS is 1, and nothing in between blocks.
func TestAtMostOnceRequestSkipsClosedConnection(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				close(accepted)
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(socket))
			_, _ = io.WriteString(socket, okResponse)
			accepted <- socket
		}
	}()
	client := newClient(t, 1)
	target := Target{Address: netip.MustParseAddrPort(listener.Addr().String()), BootID: "one"}
	message := request()
	message.AtMostOnce = true
	for number := range 100 {
		if _, err := client.Do(t.Context(), target, message, isMatch); err != nil {
			t.Fatalf("request %d: %v", number, err)
		}
		_ = (<-accepted).Close()
	}
}
