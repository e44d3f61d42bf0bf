package leaf

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"golang.org/x/net/http2"

	"github.com/micaplank/micaplank/internal/rows"
)

// TestCancelResetsStream checks that cancelling a call resets its stream, and that a reply that the
// server sends after the reset does not affect the next call.
func TestCancelResetsStream(t *testing.T) {
	arrived := make(chan struct{})
	reset := make(chan struct{})
	server := startServer(t, &rawServer{
		onRequest: func(conn *rawConn, stream uint32, body []byte) bool {
			if stream == 1 {
				close(arrived)
				return true
			}
			conn.reply(stream, successReply(body))
			return true
		},
		onReset: func(conn *rawConn, stream uint32) {
			request, _ := json.Marshal(testRequest(false))
			conn.reply(stream, successReply(request))
			close(reset)
		},
	})
	client := newTestClient(t, Config{ConnectionsPerLeaf: 1})
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-arrived
		cancel()
	}()
	_, err := client.Execute(ctx, server.address(), testRequest(false))
	var transportError *TransportError
	if !errors.As(err, &transportError) || !transportError.Sent || !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v with Sent true", err, context.Canceled)
	}
	select {
	case <-reset:
	case <-testContext(t).Done():
		t.Fatal("got no reset of the stream before the timeout, want one")
	}
	next := testRequest(false)
	next.AttemptID = "another"
	if response, err := client.Execute(testContext(t), server.address(), next); err != nil || response.AttemptID != "another" {
		t.Fatalf("got response %+v and error %v, want attempt ID %q", response, err, next.AttemptID)
	}
}

func TestGoAwayMarksReplyDraining(t *testing.T) {
	server := startRawServer(t, func(conn *rawConn, stream uint32, body []byte) bool {
		conn.framer.WriteGoAway(stream, http2.ErrCodeNo, nil)
		conn.reply(stream, successReply(body))
		return true
	})
	client := newTestClient(t, Config{})
	response, err := client.Execute(testContext(t), server.address(), testRequest(false))
	if err != nil || response.Load.State != StateDraining {
		t.Fatalf("got response %+v and error %v, want load state %s", response, err, StateDraining)
	}
}

func TestInvalidReplyErrors(t *testing.T) {
	reply := func(alter func(*ExecuteResponse)) string {
		request, _ := json.Marshal(testRequest(false))
		var response ExecuteResponse
		json.Unmarshal(successReply(request), &response)
		response.Table = rows.Table{Columns: []string{"a"}, Rows: []rows.Row{{rows.NewNumber(1)}}}
		response.RowCount = 1
		alter(&response)
		encoded, _ := json.Marshal(response)
		return string(encoded)
	}
	cases := map[string]struct {
		reply string
		cause error
	}{
		"other request":            {reply(func(r *ExecuteResponse) { r.RequestID = "x" }), ErrCrossedReply},
		"other attempt":            {reply(func(r *ExecuteResponse) { r.AttemptID = "x" }), ErrCrossedReply},
		"other shard":              {reply(func(r *ExecuteResponse) { r.Shard = 4 }), ErrCrossedReply},
		"other version":            {reply(func(r *ExecuteResponse) { r.Snapshot.Version = 8 }), ErrCrossedReply},
		"other epoch":              {reply(func(r *ExecuteResponse) { r.Snapshot.Epoch = 3 }), ErrCrossedReply},
		"rows missing":             {reply(func(r *ExecuteResponse) { r.RowCount = 2 }), ErrTruncatedReply},
		"row too short":            {reply(func(r *ExecuteResponse) { r.Table.Rows[0] = nil }), ErrTruncatedReply},
		"executed and refused":     {reply(func(r *ExecuteResponse) { r.Refusal = RefusedShed }), ErrMalformedReply},
		"invalid JSON":             {"{", ErrMalformedReply},
		"too large":                {reply(func(r *ExecuteResponse) { r.Detail = strings.Repeat("x", 2000) }), ErrReplyTooLarge},
		"not executed, no refusal": {reply(func(r *ExecuteResponse) { r.Executed = false }), ErrMalformedReply},
	}
	for name, test := range cases {
		server := startRawServer(t, func(conn *rawConn, stream uint32, _ []byte) bool {
			conn.reply(stream, []byte(test.reply))
			return true
		})
		client := newTestClient(t, Config{ReplyLimit: 1000})
		_, err := client.Execute(testContext(t), server.address(), testRequest(false))
		var transportError *TransportError
		if !errors.As(err, &transportError) || !transportError.Sent || !errors.Is(err, test.cause) {
			t.Errorf("%s: got error %v, want %v with Sent true", name, err, test.cause)
		}
		if crossed := testutil.ToFloat64(client.metrics.crossed); (crossed == 1) != (test.cause == ErrCrossedReply) {
			t.Errorf("%s: got %v crossed replies counted, want 1 only for %v", name, crossed, ErrCrossedReply)
		}
		client.Close()
	}
}
