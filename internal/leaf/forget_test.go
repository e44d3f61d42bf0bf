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
	// forgetDuration is how long TestForgetInterruptsNoCall runs.
	forgetDuration = 2 * time.Second
	// forgetCallers is the number of concurrent callers.
	forgetCallers = 16
	// forgetInterval is the pause between two calls of Forget.
	forgetInterval = 200 * time.Microsecond
)

// startSuccessServer starts a leaf that answers every request successfully.
func startSuccessServer(t *testing.T) *rawServer {
	return startRawServer(t, func(conn *rawConn, stream uint32, body []byte) bool {
		conn.reply(stream, successReply(body))
		return true
	})
}

// TestForgetWaitsForAcquiredConnection retires a leaf while a call has acquired a connection and
// has not sent its request. The connection must stay open until the call releases it.
//
// It guards against closing a forgotten connection when no request is in flight on it. A call that
// has acquired the connection but has not opened its stream is not counted as in flight, so its
// request fails with "http2: client connection force closed via ClientConn.Close", and a request
// that must not be repeated ends with an unknown outcome although its leaf still serves. The window
// is a few instructions, or milliseconds if the goroutine has to wait for a processor there.
func TestForgetWaitsForAcquiredConnection(t *testing.T) {
	server := startSuccessServer(t)
	client := newTestClient(t, Config{ConnectionsPerLeaf: 1})
	if _, err := client.Execute(testContext(t), server.address(), testRequest(false)); err != nil {
		t.Fatal(err)
	}
	acquired, err := client.poolOrNil(server.address()).acquire(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	client.Forget(server.address())
	time.Sleep(100 * time.Millisecond) // an idle connection would be closed in this time
	if err := acquired.client.Err(); err != nil {
		t.Errorf("got connection error %v before the release, want an open connection", err)
	}
	acquired.release()
	for ctx := testContext(t); acquired.client.Err() == nil && ctx.Err() == nil; {
		time.Sleep(time.Millisecond)
	}
	if acquired.client.Err() == nil {
		t.Error("got an open connection after the release, want it closed")
	}
}

// TestForgetInterruptsNoCall calls a serving leaf while the client repeatedly forgets it. Each call
// must succeed or fail with Sent false. Spinning goroutines make the callers wait for a processor
// at arbitrary points.
func TestForgetInterruptsNoCall(t *testing.T) {
	server := startSuccessServer(t)
	client := newTestClient(t, Config{ConnectionsPerLeaf: 2})
	end := time.Now().Add(forgetDuration)
	var interrupted atomic.Int64
	var lastErr atomic.Value
	var goroutines sync.WaitGroup
	for range forgetCallers {
		goroutines.Go(func() {
			for time.Now().Before(end) {
				if err := executeSentError(t, client, server.address()); err != nil {
					interrupted.Add(1)
					lastErr.Store(err)
				}
			}
		})
	}
	for range 4 * runtime.GOMAXPROCS(0) {
		goroutines.Go(func() {
			for time.Now().Before(end) {
				spin()
			}
		})
	}
	for time.Now().Before(end) {
		client.Forget(server.address())
		time.Sleep(forgetInterval)
	}
	goroutines.Wait()
	if interrupted.Load() > 0 {
		t.Errorf("got %d interrupted calls, want none; the last error: %v", interrupted.Load(), lastErr.Load())
	}
}

// executeSentError executes one call and returns its error if Sent is true, and nil otherwise.
func executeSentError(t *testing.T, client *Client, address netip.AddrPort) error {
	_, err := client.Execute(testContext(t), address, testRequest(false))
	var transportError *TransportError
	if errors.As(err, &transportError) && transportError.Sent {
		return err
	}
	return nil
}

// spin uses some processor time.
func spin() {
	sum := 0
	for number := range 100_000 {
		sum += number * number
	}
	runtime.KeepAlive(sum)
}
