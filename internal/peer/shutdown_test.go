package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/peer"
)

// TestServerCloseInterruptsNoCall closes servers that receive calls continuously. Each call must be
// answered or fail with NotExecuted. It guards against closing a connection after the last response
// while a request is in transit: such a request must be refused instead.
func TestServerCloseInterruptsNoCall(t *testing.T) {
	const rounds, callers = 40, 4
	for round := range rounds {
		server, _, _ := startServer(t)
		client := newClient(t, peer.ClientOptions{})
		var goroutines sync.WaitGroup
		for range callers {
			goroutines.Go(func() {
				for {
					var answer echoResponse
					err := client.Call(context.Background(), server.Address(), "echo", &echoRequest{Number: 1}, &answer)
					if err == nil {
						continue
					}
					if !peer.NotExecuted(err) {
						t.Errorf("round %d: got error %v, want one with NotExecuted", round, err)
					}
					if !errors.Is(err, peer.ErrRefused) {
						return // the server has stopped
					}
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
		if err := server.Close(context.Background()); err != nil {
			t.Errorf("round %d: got error %v from Close, want none", round, err)
		}
		goroutines.Wait()
	}
}

// TestServerCloseDoesNotWaitForUnresponsivePeers checks that a connection whose peer never sends
// its greeting delays Close only for a limited time.
func TestServerCloseDoesNotWaitForUnresponsivePeers(t *testing.T) {
	server, _, _ := startServer(t)
	silentConn, err := net.Dial("tcp", server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer silentConn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := server.Close(ctx); err != nil {
		t.Errorf("got error %v from Close, want none", err)
	}
}

// TestClientCloseDuringHandshake guards against a planned stop that takes as long as the idle timeout
// of a connection: the peer sends its greeting while the client closes, after the only call that
// needed the connection was abandoned.
func TestClientCloseDuringHandshake(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	closing := make(chan struct{})
	var slowPeer sync.WaitGroup
	slowPeer.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		<-closing
		time.Sleep(100 * time.Millisecond) // until Close waits for the handshake
		_, _ = io.WriteString(conn, peer.Greeting)
		_, _ = io.Copy(io.Discard, conn)
	})
	client := peer.NewClient(peer.ClientOptions{}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	address := netip.MustParseAddrPort(listener.Addr().String())
	if err := client.Call(ctx, address, "echo", &echoRequest{}, &echoResponse{}); err == nil {
		t.Error("got a response without a greeting, want none")
	}
	closed := make(chan struct{})
	go func() {
		_ = client.Close()
		close(closed)
	}()
	close(closing)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("Close did not return within 10s")
		<-closed
	}
	slowPeer.Wait()
}
