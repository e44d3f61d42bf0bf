package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// startServer starts a server whose requests take until release is closed, sends it a request, and
// returns once the request runs. The channel receives the status of the response, zero without one.
func startServer(t *testing.T, release <-chan struct{}) (*http.Server, <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	running := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(running)
		<-release
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	status := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	<-running
	return server, status
}

// TestShutdownWaitsForRequests checks that a request which takes several polls is answered.
func TestShutdownWaitsForRequests(t *testing.T) {
	release := make(chan struct{})
	server, status := startServer(t, release)
	time.AfterFunc(3*pollInterval, func() { close(release) })
	if err := Shutdown(t.Context(), server); err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if got := <-status; got != http.StatusOK {
		t.Errorf("got status %d, want 200", got)
	}
}

// TestShutdownEndsWithContext checks that a request that never ends does not hold up the shutdown.
func TestShutdownEndsWithContext(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	server, _ := startServer(t, release)
	ctx, cancel := context.WithTimeout(t.Context(), 3*pollInterval)
	defer cancel()
	if err := Shutdown(ctx, server); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v, want %v", err, context.DeadlineExceeded)
	}
}
