package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// testTimeout bounds every wait of these tests, so that a failing test ends.
const testTimeout = 10 * time.Second

// TestIncompleteBodyTimesOut sends a part of a body and then nothing. The request must end
// with a problem, since it would delay a planned stop otherwise.
func TestIncompleteBodyTimesOut(t *testing.T) {
	gateway, _ := newTestGateway(&fakeNode{})
	gateway.config.BodyTimeout = 20 * time.Millisecond
	server := httptest.NewServer(gateway)
	defer server.Close()
	for _, sent := range []string{`{"class":`, `{"class":"sweep"}`} {
		connection, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		if err := connection.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n%s", queryPath, sent)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Fatal(err)
		}
		text := formatResponse(t, response)
		if response.StatusCode != http.StatusBadRequest || !strings.Contains(text, "in time") {
			t.Errorf("after %s: got %s, want status 400 for a body that did not arrive in time", sent, text)
		}
	}
}

// TestBodyTimeoutDoesNotLimitResponse covers a query that runs longer than the body timeout:
// the read deadline of the connection must not cancel the request.
func TestBodyTimeoutDoesNotLimitResponse(t *testing.T) {
	slow := &slowNode{}
	gateway, _ := newTestGateway(&fakeNode{})
	gateway.config.Queries = slow
	gateway.config.BodyTimeout = 20 * time.Millisecond
	server := httptest.NewServer(gateway)
	defer server.Close()
	for range 2 { // both requests use the same connection
		response, err := server.Client().Post(server.URL+queryPath, "application/json", strings.NewReader(`{"class":"sweep"}`))
		if err != nil {
			t.Fatal(err)
		}
		if text := formatResponse(t, response); response.StatusCode != http.StatusOK {
			t.Errorf("got %s, want status 200", text)
		}
	}
	if slow.cancelled {
		t.Error("the context of the request was cancelled while the query ran")
	}
}

// TestCallerDisconnectCancelsQuery closes the connection after the body timeout has passed.
// The expired read deadline must not keep the server from detecting the disconnect.
func TestCallerDisconnectCancelsQuery(t *testing.T) {
	blocking := &blockingNode{started: make(chan struct{}), cancelled: make(chan bool, 1)}
	gateway, _ := newTestGateway(&fakeNode{})
	gateway.config.Queries = blocking
	gateway.config.BodyTimeout = 20 * time.Millisecond
	server := httptest.NewServer(gateway)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+queryPath, strings.NewReader(`{"class":"sweep"}`))
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-blocking.started
		time.Sleep(5 * gateway.config.BodyTimeout)
		cancel()
	}()
	response, err := server.Client().Do(request)
	if err == nil {
		response.Body.Close()
		t.Fatal("got a response, want the request to be cancelled")
	}
	if !<-blocking.cancelled {
		t.Error("the context of the query was not cancelled after the caller disconnected")
	}
}

// blockingNode blocks each query until its context is cancelled, and reports whether that
// happened within testTimeout.
type blockingNode struct {
	started   chan struct{}
	cancelled chan bool
}

func (b *blockingNode) Query(ctx context.Context, _ string, _ api.QueryRequest) (*api.QueryResponse, error) {
	close(b.started)
	select {
	case <-ctx.Done():
		b.cancelled <- true
	case <-time.After(testTimeout):
		b.cancelled <- false
	}
	return &api.QueryResponse{}, nil
}

// slowNode takes 100 ms per query, five times the body timeout of the test, and records
// whether the context was cancelled meanwhile.
type slowNode struct{ cancelled bool }

func (s *slowNode) Query(ctx context.Context, _ string, _ api.QueryRequest) (*api.QueryResponse, error) {
	select {
	case <-ctx.Done():
		s.cancelled = true
	case <-time.After(100 * time.Millisecond):
	}
	return &api.QueryResponse{}, nil
}
