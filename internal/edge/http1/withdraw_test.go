package http1

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// errLeafLeft is the reason for which the requests of these tests are withdrawn.
var errLeafLeft = errors.New("leaf left")

// withdrawable returns a request that is withdrawn once the flag is set.
func withdrawable(withdrawn *atomic.Bool) Message {
	message := request()
	message.Prepare = func() ([]byte, error) {
		if withdrawn.Load() {
			return nil, errLeafLeft
		}
		return []byte("Prepared: yes\r\n"), nil
	}
	return message
}

// requireWithdrawn checks the error of a request that was withdrawn.
func requireWithdrawn(t *testing.T, err, reason error) {
	t.Helper()
	var transport *leaf.TransportError
	if !errors.As(err, &transport) || transport.Sent || !transport.Withdrawn || !errors.Is(err, reason) {
		t.Errorf("error %v, want a request that was withdrawn unsent: %v", err, reason)
	}
}

// TestWithdrawnRequestStopsWaiting guards against requests that wait for a connection until their
// deadline, although their leaf has left, and that reach it when a connection becomes free.
func TestWithdrawnRequestStopsWaiting(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(int, int) string { <-release; return okResponse })
	client := newClient(t, 1)
	var group sync.WaitGroup
	group.Go(func() {
		if _, err := doGet(t, client, b.target()); err != nil {
			t.Error(err)
		}
	})
	waitUntil(t, "a request at the back end", func() bool { return b.requests.Load() == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var withdrawn atomic.Bool
	message := withdrawable(&withdrawn)
	signal := make(chan struct{})
	message.Withdrawn = signal
	ended := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, b.target(), message, isMatch)
		ended <- err
	}()
	waitUntil(t, "a waiting request", func() bool { return waitingRequests(client, b.target()) == 1 })
	withdrawn.Store(true)
	close(signal)
	requireWithdrawn(t, <-ended, errLeafLeft)
	message = request()
	message.SendBy = time.Now().Add(time.Millisecond)
	_, err := client.Do(ctx, b.target(), message, isMatch)
	requireWithdrawn(t, err, errWithdrawn)
	close(release)
	group.Wait()
	if _, err := doGet(t, client, b.target()); err != nil || b.requests.Load() != 2 {
		t.Errorf("error %v, %d requests at the back end, want the two that were not withdrawn", err, b.requests.Load())
	}
}

// TestRequestIsCheckedDirectlyBeforeSend guards against a request that is sent although it was
// withdrawn while its connection was opened. The connection serves the next request.
func TestRequestIsCheckedDirectlyBeforeSend(t *testing.T) {
	b := newBackend(t, func(int, int) string { return okResponse })
	client := newClient(t, 1)
	var withdrawn atomic.Bool
	withdrawn.Store(true)
	_, err := client.Do(t.Context(), b.target(), withdrawable(&withdrawn), isMatch)
	requireWithdrawn(t, err, errLeafLeft)
	withdrawn.Store(false)
	if _, err := client.Do(t.Context(), b.target(), withdrawable(&withdrawn), isMatch); err != nil {
		t.Fatal(err)
	}
	if b.requests.Load() != 1 || b.connections.Load() != 1 {
		t.Errorf("%d requests on %d connections, want 1 on 1", b.requests.Load(), b.connections.Load())
	}
}

// waitingRequests returns the number of requests that wait for a connection.
func waitingRequests(client *Client, target Target) int {
	client.mutex.Lock()
	targetPool := client.pools[target]
	client.mutex.Unlock()
	if targetPool == nil {
		return 0
	}
	targetPool.mutex.Lock()
	defer targetPool.mutex.Unlock()
	return len(targetPool.waiters)
}
