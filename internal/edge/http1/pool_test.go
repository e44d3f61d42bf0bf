package http1

import (
	"sync"
	"testing"
	"time"
)

// TestZeroMaxIdleClosesEveryConnection checks that each request opens a connection and closes it
// after the response if a target may have no idle connection.
func TestZeroMaxIdleClosesEveryConnection(t *testing.T) {
	b := newBackend(t, func(int, int) string { return okResponse })
	client := newClient(t, 3)
	target := b.target()
	client.Retain(map[Target]int{target: 0})
	const requests = 5
	for range requests {
		if _, err := doGet(t, client, target); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the connection to be closed", func() bool { return openConnections(client, target) == 0 })
	}
	if got := b.connections.Load(); got != requests {
		t.Errorf("%d connections for %d requests, want one per request", got, requests)
	}
}

// TestLowerMaxIdleClosesSurplusConnections checks that lowering the number of idle connections
// closes the surplus ones, and that the limit of open connections follows that number.
func TestLowerMaxIdleClosesSurplusConnections(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(int, int) string { <-release; return okResponse })
	client := newClient(t, 3)
	target := b.target()
	client.Retain(map[Target]int{target: 3})
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() {
			if _, err := doGet(t, client, target); err != nil {
				t.Error(err)
			}
		})
	}
	waitUntil(t, "three open connections", func() bool { return b.connections.Load() == 3 })
	close(release)
	group.Wait()
	client.Retain(map[Target]int{target: 1})
	waitUntil(t, "two connections to be closed", func() bool { return openConnections(client, target) == 1 })
	if _, err := doGet(t, client, target); err != nil || b.connections.Load() != 3 {
		t.Errorf("error %v, %d connections, want the idle connection reused and 3 in total", err, b.connections.Load())
	}
	for _, test := range []struct{ maxIdle, limit int }{{0, 1}, {1, 1}, {2, 2}, {9, 3}} {
		targetPool := newPool(client, Target{})
		targetPool.setMaxIdle(test.maxIdle)
		if got := targetPool.limit(); got != test.limit {
			t.Errorf("limit with at most %d idle: %d, want %d", test.maxIdle, got, test.limit)
		}
	}
}

func openConnections(client *Client, target Target) int {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	targetPool := client.pools[target]
	targetPool.mutex.Lock()
	defer targetPool.mutex.Unlock()
	return targetPool.openCount
}

// waitUntil polls until a condition holds. Its deadline is generous, because it is not under test.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}
