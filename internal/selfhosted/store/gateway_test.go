package store

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const headerJSON = `"header":{"cluster_id":"14841639068965178418","member_id":"10276657743932975437","revision":"7","raft_term":"2"}`

// gatewayResponses holds the response of the gateway for each path.
var gatewayResponses = map[string]string{
	"/v3/kv/range": `{` + headerJSON + `,"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"5","version":"3","value":"YmFy","lease":"7587862094143457803"}],"more":true,"count":"4"}`,
	"/v3/kv/txn": `{` + headerJSON + `,"responses":[{"response_range":{` + headerJSON +
		`,"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"5","version":"3","value":"YmFy"}],"count":"1"}}]}`,
	"/v3/kv/deleterange": `{` + headerJSON + `,"deleted":"2"}`,
	"/v3/watch": `{"result":{` + headerJSON + `,"created":true}}` + "\n" +
		`{"result":{` + headerJSON + `,"events":[{"kv":{"key":"Zm9v","create_revision":"2","mod_revision":"6","version":"1","value":"YmFy"}},{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"7"}}]}}` + "\n" +
		`{"result":{` + headerJSON + `}}` + "\n" +
		`{"result":{` + headerJSON + `,"canceled":true,"compact_revision":"6"}}` + "\n",
}

func TestMessagesMatchGatewayFormat(t *testing.T) {
	var transcript strings.Builder
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		fmt.Fprintf(&transcript, "%s %s\n  %s\n", request.Method, request.URL.Path, body)
		_, _ = io.WriteString(writer, gatewayResponses[request.URL.Path])
	}))
	defer server.Close()
	client := newTestClient(t, server.Listener.Addr().String())
	ctx := context.Background()
	record := func(result any, err error) { fmt.Fprintf(&transcript, "  -> %+v, %v\n", result, err) }
	rangeResult, err := client.Range(ctx, "foo", "fop", 3)
	record(rangeResult, err)
	created, err := client.CreateIfAbsent(ctx, "foo", []byte("bar"))
	record(created, err)
	swapped, err := client.CompareAndSwap(ctx, "foo", 4, []byte("bar"))
	record(swapped, err)
	deleted, err := client.DeleteRange(ctx, "foo", "")
	record(deleted, err)
	events, err := client.Watch(ctx, "foo", "fop", 6)
	if err != nil {
		t.Fatal(err)
	}
	for event := range events {
		kind := ErrorKind(event.Err)
		event.Err = nil
		fmt.Fprintf(&transcript, "  -> %+v %s\n", event, kind)
	}
	goldie.New(t).Assert(t, "gateway", []byte(transcript.String()))
}

func TestErrorResponsesAreClassified(t *testing.T) {
	for _, expected := range []struct {
		status       int
		body         string
		kind         Kind
		maybeApplied bool
	}{
		{429, `{"error":"etcdserver: too many requests","code":8,"message":"etcdserver: too many requests"}`, KindRateLimited, false},
		{503, `{"error":"etcdserver: request timed out","code":14,"message":"etcdserver: request timed out"}`, KindUnavailable, true},
		{404, `{"error":"etcdserver: requested lease not found","code":5,"message":"etcdserver: requested lease not found"}`, KindLeaseNotFound, false},
		{400, `{"error":"x","code":11,"message":"etcdserver: mvcc: required revision has been compacted"}`, KindCompacted, false},
		{400, `{"error":"etcdserver: key is not provided","code":3,"message":"etcdserver: key is not provided"}`, KindRefused, false},
		{500, `{"code":2,"message":"raft: proposal dropped"}`, KindUnavailable, true},
		{429, `slow down`, KindRateLimited, false},
		{502, `<html>bad gateway</html>`, KindUnavailable, true},
		{404, `404 page not found`, KindRefused, false},
		{200, `{"succeeded":tr`, KindReplyLost, true},
		{200, ``, KindReplyLost, true},
		{200, `[]`, KindReplyLost, true},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Retry-After", "3")
			writer.WriteHeader(expected.status)
			_, _ = io.WriteString(writer, expected.body)
		}))
		client := newTestClient(t, server.Listener.Addr().String())
		_, err := client.CreateIfAbsent(context.Background(), "a", nil)
		if ErrorKind(err) != expected.kind || MaybeApplied(err) != expected.maybeApplied {
			t.Errorf("status %d, body %s: got error %v, want kind %q and maybe applied %t",
				expected.status, expected.body, err, expected.kind, expected.maybeApplied)
		}
		client.Close()
		server.Close()
	}
}
