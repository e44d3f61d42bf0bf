package leaf

import (
	"errors"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// forgetTime is how long a client calls and forgets a leaf, by forgetCallers side by
	// side, with a pause of forgetPause.
	forgetDuration = 2 * time.Second
	forgetCallers  = 16
	forgetInterval = 200 * time.Microsecond
)

// startGoodServer starts a leaf that answers all.
func startSuccessServer(t *testing.T) *rawServer {
	return startRawServer(t, func(conn *rawConn, stream uint32, body []byte) bool {
		conn.reply(stream, successReply(body))
		return true
	})
}

// TestForgottenConnectionIsKeptForWhatPickedIt: a call has picked a connection and has not
// begun to send, when the leaf is retired and its connections are closed as soon as they
// are idle. The connection stays open for the call.
//
// A node closes the connections to a leaf that left as soon as no request is in flight
// there. What had picked one, and was not counted yet, could begin between the look and the
// close, which cut it off: a request that may run once had an unknown outcome, though its
// leaf was sound and still served. The time between the two is some instructions; a thread
// that has to wait for a processor there makes it milliseconds.
//
// The evidence: beside 36 busy processes on 8 cores, TestForgetCutsNothing saw 1 to 3 of
// some 100,000 calls cut in each of six plays, with "http2: client connection force closed
// via ClientConn.Close", and none in three quiet ones. A planned stop of a leaf retires it
// first, and one of 1,182 requests had an unknown outcome in one play of
// TestPlannedStopCutsNothingOff beside that load.
func TestForgetWaitsForAcquiredConnection(t *testing.T) {
	server := startSuccessServer(t)
	client := newTestClient(t, Config{ConnectionsPerLeaf: 1})
	if _, err := client.Execute(testContext(t), server.address(), testRequest(false)); err != nil {
		t.Fatal(err)
	}
	picked, err := client.poolFor(server.address()).acquire(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	client.Forget(server.address())
	time.Sleep(100 * time.Millisecond) // in which it would be closed
	if err := picked.client.Err(); err != nil {
		t.Errorf("the connection was closed: %v", err)
	}
	picked.release()
	for end := testContext(t); picked.client.Err() == nil && end.Err() == nil; {
		time.Sleep(time.Millisecond)
	}
	if picked.client.Err() == nil {
		t.Error("the connection stays open after its last call")
	}
}

// TestForgetCutsNothing calls a sound leaf while it is forgotten again and again: each call
// is answered, or proves that it was not sent. Busy goroutines keep callers waiting for a
// processor at any place.
func TestForgetInterruptsNoCall(t *testing.T) {
	server := startSuccessServer(t)
	client := newTestClient(t, Config{ConnectionsPerLeaf: 2})
	end := time.Now().Add(forgetDuration)
	var cut atomic.Int64
	var cause atomic.Value
	var running sync.WaitGroup
	for range forgetCallers {
		running.Go(func() {
			for time.Now().Before(end) {
				if err := executeSentError(t, client, server.address()); err != nil {
					cut.Add(1)
					cause.Store(err)
				}
			}
		})
	}
	for range 4 * runtime.GOMAXPROCS(0) {
		running.Go(func() {
			for time.Now().Before(end) {
				spin()
			}
		})
	}
	for time.Now().Before(end) {
		client.Forget(server.address())
		time.Sleep(forgetInterval)
	}
	running.Wait()
	if cut.Load() > 0 {
		t.Errorf("%d calls were cut off, such as: %v", cut.Load(), cause.Load())
	}
}

// callOnce returns the error of a call that may have run.
func executeSentError(t *testing.T, client *Client, address netip.AddrPort) error {
	_, err := client.Execute(testContext(t), address, testRequest(false))
	var failed *TransportError
	if errors.As(err, &failed) && failed.Sent {
		return err
	}
	return nil
}

// busy takes some processor time.
func spin() {
	sum := 0
	for number := range 100_000 {
		sum += number * number
	}
	runtime.KeepAlive(sum)
}
