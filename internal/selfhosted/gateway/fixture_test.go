package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// fakeNode implements QueryRunner and OperatorService. It records the requests and returns
// the configured response and error.
type fakeNode struct {
	lastQuery   api.QueryRequest
	lastService string
	response    *api.QueryResponse
	err         error
	calls       int
	timeout     time.Duration
	panics      bool
}

func (f *fakeNode) Query(_ context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error) {
	f.calls++
	f.lastQuery, f.lastService = request, service
	if f.panics {
		panic("panic in a handler")
	}
	return f.response, f.err
}

func (f *fakeNode) Statement(ctx context.Context, _ api.StatementRequest) (*api.StatementResponse, error) {
	return f.respond(ctx)
}

func (f *fakeNode) Change(ctx context.Context, _ string) (*api.StatementResponse, error) {
	return f.respond(ctx)
}

func (f *fakeNode) respond(ctx context.Context) (*api.StatementResponse, error) {
	f.calls++
	if deadline, ok := ctx.Deadline(); ok {
		f.timeout = time.Until(deadline).Round(time.Minute)
	}
	return &api.StatementResponse{Kind: api.KindChange}, f.err
}

func (f *fakeNode) Status(context.Context) (*api.StatusResponse, error) {
	return &api.StatusResponse{}, f.err
}

func (f *fakeNode) Catalog() *catalog.Catalog { return catalog.Empty() }

func (f *fakeNode) Drain(_ context.Context, node string) (*api.DrainResponse, error) {
	return &api.DrainResponse{Node: node, State: api.NodeLeaving}, f.err
}

func newTestGateway(node *fakeNode) (*Gateway, *bytes.Buffer) {
	var log bytes.Buffer
	return New(Config{
		Queries:      node,
		Operations:   node,
		Metrics:      http.NotFoundHandler(),
		Logger:       slog.New(slog.NewTextHandler(&log, nil)),
		MaxBodyBytes: maxBodyBytes,
		CheckReady:   func() error { return nil },
	}), &log
}

func serve(gateway http.Handler, method, path, body string) *http.Response {
	recorder := httptest.NewRecorder()
	gateway.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Result()
}

// formatResponse formats the parts of a response that clients depend on, for the golden
// file.
func formatResponse(t *testing.T, response *http.Response) string {
	t.Helper()
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%d %s\n", response.StatusCode, response.Header.Get("Content-Type"))
	for _, name := range []string{"Retry-After", "Connection"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&text, "%s: %s\n", name, value)
		}
	}
	var indented bytes.Buffer
	if json.Indent(&indented, body, "", "  ") == nil {
		body = indented.Bytes()
	}
	fmt.Fprintf(&text, "%s\n\n", bytes.TrimSpace(body))
	return text.String()
}
