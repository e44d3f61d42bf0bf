package peer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/peer"
)

// startCuttingProxy forwards connections to a server, and closes each one after a number of bytes of
// the server.
func startCuttingProxy(t *testing.T, target netip.AddrPort, bytesOfServer func() int64) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	forward := func(client net.Conn) {
		defer client.Close()
		server, err := net.Dial("tcp", target.String())
		if err != nil {
			return
		}
		defer server.Close()
		running.Go(func() {
			_, _ = io.Copy(server, client)
			_ = server.Close()
		})
		_, _ = io.CopyN(client, server, bytesOfServer())
	}
	running.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() { forward(client) })
		}
	})
	t.Cleanup(func() { _ = listener.Close(); running.Wait() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestResponseCutAtAnyByteIsAnError guards against a response that counts as whole although the other
// node ended while it wrote: each call gets its whole response or an error.
func TestResponseCutAtAnyByteIsAnError(t *testing.T) {
	const limit = 400
	server, _, _ := startServer(t)
	var cut atomic.Int64
	address := startCuttingProxy(t, server.Address(), cut.Load)
	data, succeeded := bytes.Repeat([]byte("d"), 50), false
	for size := range int64(limit) {
		cut.Store(size)
		client := newClient(t, peer.ClientOptions{})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		var response echoResponse
		err := client.Call(ctx, address, "echo", &echoRequest{7, data}, &response)
		cancel()
		switch {
		case err == nil && (response.Number != 7 || !bytes.Equal(response.Data, data)):
			t.Errorf("cut after %d bytes: got response %+v without an error", size, response)
		case err != nil && succeeded:
			t.Errorf("cut after %d bytes: got error %v, want the response, since fewer bytes brought it", size, err)
		}
		succeeded = succeeded || err == nil
		_ = client.Close()
	}
	if !succeeded {
		t.Errorf("got no response within %d bytes, want one", limit)
	}
}
