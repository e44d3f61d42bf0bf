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

// patience bounds every wait of these tests; nothing is measured by it.
const testTimeout = 10 * time.Second

// TestBodyThatDoesNotArrive sends half of a body and then nothing: the request
// ends, so that it cannot hold up a planned stop.
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
			t.Errorf("after %s: %s", sent, text)
		}
	}
}

// TestDeadlineOfTheBodyIsNotThatOfTheAnswer has an answer that takes longer
// than a body may.
func TestBodyTimeoutDoesNotLimitResponse(t *testing.T) {
	slow := &slowNode{}
	gateway, _ := newTestGateway(&fakeNode{})
	gateway.config.Queries = slow
	gateway.config.BodyTimeout = 20 * time.Millisecond
	server := httptest.NewServer(gateway)
	defer server.Close()
	for range 2 { // on one connection
		response, err := server.Client().Post(server.URL+queryPath, "application/json", strings.NewReader(`{"class":"sweep"}`))
		if err != nil {
			t.Fatal(err)
		}
		if text := formatResponse(t, response); response.StatusCode != http.StatusOK {
			t.Error(text)
		}
	}
	if slow.cancelled {
		t.Error("the request was cancelled while it ran")
	}
}

// TestCallerThatGoesAwayIsNoticed closes the connection after the deadline of
// the body is over: that one must not hide it.
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
		t.Fatal("the request was answered")
	}
	if !<-blocking.cancelled {
		t.Error("the node did not notice that the caller went away")
	}
}

// waitingNode waits until the caller goes away.
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

// slowNode takes five times the body's deadline for an answer.
type slowNode struct{ cancelled bool }

func (s *slowNode) Query(ctx context.Context, _ string, _ api.QueryRequest) (*api.QueryResponse, error) {
	select {
	case <-ctx.Done():
		s.cancelled = true
	case <-time.After(100 * time.Millisecond):
	}
	return &api.QueryResponse{}, nil
}
