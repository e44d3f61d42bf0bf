package peer_test

import (
	"context"
	"errors"
	"net"
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
