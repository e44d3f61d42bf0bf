package peer_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/peer"
)

// TestWithdrawnCallGetsItsResponse guards against giving up a request that may run at most once at
// its deadline, although the peer knows what became of it: the call must end the context of the
// handler, and wait for its response.
func TestWithdrawnCallGetsItsResponse(t *testing.T) {
	server, err := peer.Listen(loopback, nil)
	if err != nil {
		t.Fatal(err)
	}
	peer.Register(server, "settle", func(ctx context.Context, _ netip.AddrPort, request *echoRequest) (*echoResponse, error) {
		<-ctx.Done()
		time.Sleep(50 * time.Millisecond)
		return &echoResponse{Number: request.Number}, nil
	})
	server.Start()
	t.Cleanup(func() { _ = server.Close(context.Background()) })
	client := newClient(t, peer.ClientOptions{})
	var response echoResponse
	err = client.CallOnce(context.Background(), server.Address(), "settle", &echoRequest{Number: 7}, &response, time.Now().Add(20*time.Millisecond))
	if err != nil || response.Number != 7 {
		t.Errorf("got number %d and error %v, want 7", response.Number, err)
	}
}

// TestCallOnceIsNotSentAfterWithdrawal checks that a request is not sent once the time of its
// withdrawal has passed, and that the error proves it.
func TestCallOnceIsNotSentAfterWithdrawal(t *testing.T) {
	server, started, release := startServer(t)
	close(release)
	client := newClient(t, peer.ClientOptions{})
	err := client.CallOnce(context.Background(), server.Address(), "hold", &echoRequest{}, &echoResponse{}, time.Now())
	if !peer.NotExecuted(err) || len(started) != 0 {
		t.Errorf("got error %v and %d started calls, want one with NotExecuted and none", err, len(started))
	}
}

// TestCallOnceOutlastsCallTimeout checks that the timeout of other calls does not end a request that
// must not be repeated.
func TestCallOnceOutlastsCallTimeout(t *testing.T) {
	server, started, release := startServer(t)
	client := newClient(t, peer.ClientOptions{CallTimeout: 50 * time.Millisecond})
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	var response echoResponse
	err := client.CallOnce(context.Background(), server.Address(), "hold", &echoRequest{Number: 4}, &response, time.Now().Add(10*time.Second))
	if err != nil || response.Number != 4 || len(started) != 1 {
		t.Errorf("got number %d, %d started calls and error %v, want 4 and 1", response.Number, len(started), err)
	}
}
