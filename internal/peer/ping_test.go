package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/peer"
)

// idleTime is longer than a peer counts as responsive without sending anything.
const idleTime = 200 * time.Millisecond

// TestSilentPeerGetsNoCallOnce guards against requests of unknown outcome at a peer whose process is
// paused before they arrive. The peer must not get the request, the caller must know that before its
// time is over, and the peer must not run the request when it goes on.
func TestSilentPeerGetsNoCallOnce(t *testing.T) {
	server, started, release := startServer(t)
	close(release)
	proxy := startProxy(t, server.Address())
	client := newClient(t, peer.ClientOptions{})
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	if err := client.Call(ctx, proxy.address(), "echo", &echoRequest{}, &echoResponse{}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(idleTime)
	proxy.pause()
	const withdrawAfter = 4 * time.Second
	begun := time.Now()
	err := client.CallOnce(ctx, proxy.address(), "hold", &echoRequest{Number: 1}, &echoResponse{}, begun.Add(withdrawAfter))
	if !peer.NotExecuted(err) {
		t.Errorf("got error %v, want one with NotExecuted", err)
	}
	if waited := time.Since(begun); waited >= withdrawAfter {
		t.Errorf("got the error after %s, want it before the time of the withdrawal", waited)
	}
	proxy.resume()
	var response echoResponse
	if err := client.CallOnce(ctx, proxy.address(), "hold", &echoRequest{Number: 2}, &response, time.Now().Add(10*time.Second)); err != nil || response.Number != 2 {
		t.Errorf("after the pause: got number %d and error %v, want 2", response.Number, err)
	}
	close(started)
	for number := range started {
		if number != 2 {
			t.Errorf("the peer ran call %d, want only call 2", number)
		}
	}
}

// TestPeerWithoutPingIsResponsive checks that a server of a version that refuses pings counts as
// responsive, since the refusal is a response.
func TestPeerWithoutPingIsResponsive(t *testing.T) {
	server, _, release := startServer(t)
	close(release)
	peer.RemovePing(server)
	client := newClient(t, peer.ClientOptions{})
	for number := range 2 {
		var response echoResponse
		err := client.CallOnce(context.Background(), server.Address(), "hold", &echoRequest{Number: number}, &response, time.Now().Add(10*time.Second))
		if err != nil || response.Number != number {
			t.Errorf("call %d: got number %d and error %v", number, response.Number, err)
		}
		time.Sleep(idleTime)
	}
}
