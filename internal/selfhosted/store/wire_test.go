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

const header = `"header":{"cluster_id":"14841639068965178418","member_id":"10276657743932975437","revision":"7","raft_term":"2"}`

// scripted answers each path as the published gateway does, field by field,
// and writes down what was asked.
var scripted = map[string]string{
	"/v3/kv/range": `{` + header + `,"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"5","version":"3","value":"YmFy","lease":"7587862094143457803"}],"more":true,"count":"4"}`,
	"/v3/kv/txn": `{` + header + `,"responses":[{"response_range":{` + header +
		`,"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"5","version":"3","value":"YmFy"}],"count":"1"}}]}`,
	"/v3/kv/deleterange": `{` + header + `,"deleted":"2"}`,
	"/v3/watch": `{"result":{` + header + `,"created":true}}` + "\n" +
		`{"result":{` + header + `,"events":[{"kv":{"key":"Zm9v","create_revision":"2","mod_revision":"6","version":"1","value":"YmFy"}},{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"7"}}]}}` + "\n" +
		`{"result":{` + header + `}}` + "\n" +
		`{"result":{` + header + `,"canceled":true,"compact_revision":"6"}}` + "\n",
}

func TestMessagesAreThoseOfTheGateway(t *testing.T) {
	var talk strings.Builder
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		fmt.Fprintf(&talk, "%s %s\n  %s\n", request.Method, request.URL.Path, body)
		_, _ = io.WriteString(writer, scripted[request.URL.Path])
	}))
	defer server.Close()
	client := clientOf(t, server.Listener.Addr().String())
	ctx := context.Background()
	answered := func(result any, err error) { fmt.Fprintf(&talk, "  -> %+v, %v\n", result, err) }
	found, err := client.Range(ctx, "foo", "fop", 3)
	answered(found, err)
	created, err := client.CreateIfAbsent(ctx, "foo", []byte("bar"))
	answered(created, err)
	swapped, err := client.CompareAndSwap(ctx, "foo", 4, []byte("bar"))
	answered(swapped, err)
	deleted, err := client.DeleteRange(ctx, "foo", "")
	answered(deleted, err)
	events, err := client.Watch(ctx, "foo", "fop", 6)
	if err != nil {
		t.Fatal(err)
	}
	for event := range events {
		kind := KindOf(event.Err)
		event.Err = nil
		fmt.Fprintf(&talk, "  -> %+v %s\n", event, kind)
	}
	goldie.New(t).Assert(t, "gateway", []byte(talk.String()))
}

func TestRefusalsAreTyped(t *testing.T) {
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
		client := clientOf(t, server.Listener.Addr().String())
		_, err := client.CreateIfAbsent(context.Background(), "a", nil)
		if KindOf(err) != expected.kind || MaybeApplied(err) != expected.maybeApplied {
			t.Errorf("%d %s: %v", expected.status, expected.body, err)
		}
		client.Close()
		server.Close()
	}
}
