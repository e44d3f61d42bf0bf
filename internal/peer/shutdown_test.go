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

// TestPlannedStopLosesNoCall stops servers that are called all the time. Each call
// is answered, or proves that it was not executed: one that comes to the server
// after its last answer is refused, and not cut off.
func TestServerCloseInterruptsNoCall(t *testing.T) {
	const rounds, callers = 40, 4
	for round := range rounds {
		server, _, _ := startServer(t)
		client := newClient(t, peer.ClientOptions{})
		var calling sync.WaitGroup
		for range callers {
			calling.Go(func() {
				for {
					var answer echoResponse
					err := client.Call(context.Background(), server.Address(), "echo", &echoRequest{Number: 1}, &answer)
					if err == nil {
						continue
					}
					if !peer.NotExecuted(err) {
						t.Errorf("round %d: %v", round, err)
					}
					if !errors.Is(err, peer.ErrRefused) {
						return // the server has stopped
					}
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
		if err := server.Close(context.Background()); err != nil {
			t.Error(err)
		}
		calling.Wait()
	}
}

// TestPlannedStopDoesNotWaitForCallersThatAreSilent: a connection on which nothing
// is read any more, and one that never greets, hold a stop only for a while.
func TestServerCloseDoesNotWaitForUnresponsivePeers(t *testing.T) {
	server, _, _ := startServer(t)
	mute, err := net.Dial("tcp", server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := server.Close(ctx); err != nil {
		t.Error(err)
	}
}
