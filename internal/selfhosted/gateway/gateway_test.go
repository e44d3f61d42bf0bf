package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

const maxBodyBytes = 1024

const (
	queryPath     = "/v1/services/rate-desk/query"
	statementPath = "/v1/operator/statements"
)

// TestProblemsGolden checks the problem document for each kind of invalid request. A request
// that the gateway rejects must not reach the node.
func TestProblemsGolden(t *testing.T) {
	overload := api.NewProblem(api.ProblemNotRunOverload, "predicted wait 1.2s")
	overload.RequestID, overload.Outcome, overload.Reason, overload.RetryAfterMilliseconds = "r-1", dispatch.OutcomeNotRun, dispatch.ReasonOverload, 1200
	syntax := api.NewProblem(api.ProblemSyntax, "expected \"from\"")
	syntax.Line, syntax.Column, syntax.Expected = 1, 13, `"from"`
	tooLarge := `{"class":"sweep","statement":"` + strings.Repeat("x", maxBodyBytes) + `"}`
	cases := []struct {
		name, method, path, body string
		err                      error
	}{
		{"body too large", http.MethodPost, queryPath, tooLarge, nil},
		{"unknown key", http.MethodPost, queryPath, `{"class":"sweep","statment":"select"}`, nil},
		{"wrong type", http.MethodPost, queryPath, `{"class":"sweep","deadline_ms":"2s"}`, nil},
		{"fraction of a millisecond", http.MethodPost, queryPath, `{"class":"sweep","deadline_ms":0.5}`, nil},
		{"deadline of zero", http.MethodPost, queryPath, `{"request_id":"r-1","class":"sweep","statement":"select * from x","deadline_ms":0}`, nil},
		{"no JSON", http.MethodPost, queryPath, `select`, nil},
		{"cut off", http.MethodPost, queryPath, `{"class":`, nil},
		{"empty body", http.MethodPost, queryPath, ``, nil},
		{"a list", http.MethodPost, queryPath, `[]`, nil},
		{"second value", http.MethodPost, queryPath, `{"class":"sweep"} {}`, nil},
		{"statement of the wrong type", http.MethodPost, statementPath, `{"statement":7}`, nil},
		{"negative timeout", http.MethodPost, statementPath, `{"statement":"show nodes","timeout_ms":-1}`, nil},
		{"timeout too long", http.MethodPost, statementPath, `{"statement":"show nodes","timeout_ms":300001}`, nil},
		{"timeout that overflows", http.MethodPost, statementPath, `{"statement":"show nodes","timeout_ms":288230376151711745}`, nil},
		{"timeout of a change that is no number", http.MethodGet, "/v1/operator/changes/17-a?timeout_ms=soon", "", nil},
		{"unknown path", http.MethodGet, "/v1/service", "", nil},
		{"unknown method", http.MethodDelete, queryPath, "", nil},
		{"problem of the node with a time", http.MethodPost, queryPath, `{"class":"sweep"}`, overload},
		{"problem that points into a statement", http.MethodPost, queryPath, `{"class":"sweep"}`, syntax},
		{"wrapped problem", http.MethodPost, statementPath, `{"statement":"show nodes"}`, fmt.Errorf("step: %w", api.NewProblem(api.ProblemConflict, "revision 4, not 3"))},
		{"error that is no problem", http.MethodPost, queryPath, `{"class":"sweep"}`, errors.New("unforeseen")},
	}
	var report strings.Builder
	for _, test := range cases {
		node := &fakeNode{err: test.err}
		gateway, _ := newTestGateway(node)
		fmt.Fprintf(&report, "=== %s\n%s", test.name, formatResponse(t, serve(gateway, test.method, test.path, test.body)))
		if test.err == nil && node.calls > 0 {
			t.Errorf("%s: the request was passed to the node", test.name)
		}
	}
	goldie.New(t).Assert(t, "problems", []byte(report.String()))
}

func TestQueryIsPassedToNode(t *testing.T) {
	node := &fakeNode{response: &api.QueryResponse{RequestID: "r-1", Outcome: dispatch.OutcomeAnswered, Columns: []string{"lane"}}}
	gateway, _ := newTestGateway(node)
	response := serve(gateway, http.MethodPost, queryPath, `{"request_id":"r-1","class":"sweep","statement":"select * from rate-desk","deadline_ms":90,"minimum_coverage":0.5}`+"\n")
	if response.StatusCode != http.StatusOK || node.lastService != "rate-desk" {
		t.Fatalf("got status %d for service %q, want 200 for rate-desk", response.StatusCode, node.lastService)
	}
	query := node.lastQuery
	if query.RequestID != "r-1" || query.Class != "sweep" || query.Statement != "select * from rate-desk" || query.DeadlineMilliseconds != 90 || query.MinimumCoverage == nil || *query.MinimumCoverage != 0.5 {
		t.Errorf("got query %+v, want the fields of the body", query)
	}
}

func TestOperatorTimeout(t *testing.T) {
	for body, want := range map[string]time.Duration{
		`{"statement":"show nodes","timeout_ms":120000}`: 2 * time.Minute,
		`{"statement":"show nodes","timeout_ms":300000}`: 5 * time.Minute,
	} {
		node := &fakeNode{}
		gateway, _ := newTestGateway(node)
		if response := serve(gateway, http.MethodPost, statementPath, body); response.StatusCode != http.StatusOK || node.timeout != want {
			t.Errorf("%s: got status %d with timeout %s, want 200 with %s", body, response.StatusCode, node.timeout, want)
		}
	}
}

// TestDrainingNodeIsNotReady checks that a draining node reports that it is not ready, still
// serves requests, and asks callers to close their connections.
func TestDrainingNodeIsNotReady(t *testing.T) {
	node := &fakeNode{response: &api.QueryResponse{}}
	gateway, _ := newTestGateway(node)
	if response := serve(gateway, http.MethodGet, "/readyz", ""); response.StatusCode != http.StatusOK || response.Header.Get("Connection") != "" {
		t.Errorf("before Drain: got status %d with Connection %q, want 200 without", response.StatusCode, response.Header.Get("Connection"))
	}
	gateway.Drain()
	for path, want := range map[string]int{"/readyz": http.StatusServiceUnavailable, "/healthz": http.StatusOK, "/v1/operator/status": http.StatusOK, "/none": http.StatusNotFound} {
		if response := serve(gateway, http.MethodGet, path, ""); response.StatusCode != want || response.Header.Get("Connection") != "close" {
			t.Errorf("%s: got status %d with Connection %q, want %d with close", path, response.StatusCode, response.Header.Get("Connection"), want)
		}
	}
	if response := serve(gateway, http.MethodPost, queryPath, `{"class":"sweep"}`); response.StatusCode != http.StatusOK {
		t.Errorf("query while draining: got status %d, want 200", response.StatusCode)
	}
}

// TestDrainingClosesTheConnection checks over TCP that the Connection header ends the
// connection.
func TestDrainingClosesTheConnection(t *testing.T) {
	gateway, _ := newTestGateway(&fakeNode{})
	server := httptest.NewServer(gateway)
	defer server.Close()
	for _, draining := range []bool{false, true} {
		if draining {
			gateway.Drain()
		}
		response, err := server.Client().Get(server.URL + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.Close != draining {
			t.Errorf("draining %v: got connection closed %v", draining, response.Close)
		}
	}
}

func TestReadyzReportsReason(t *testing.T) {
	gateway, _ := newTestGateway(&fakeNode{})
	gateway.config.CheckReady = func() error { return errors.New("the catalog may be out of date") }
	response := serve(gateway, http.MethodGet, "/readyz", "")
	if text := formatResponse(t, response); response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(text, "out of date") {
		t.Errorf("got %s, want status 503 with the reason", text)
	}
}

// TestPanicBecomesInternalProblem checks that the text of a panic goes to the log and not to
// the caller.
func TestPanicBecomesInternalProblem(t *testing.T) {
	gateway, log := newTestGateway(&fakeNode{panics: true})
	response := serve(gateway, http.MethodPost, queryPath, `{"class":"sweep"}`)
	text := formatResponse(t, response)
	if response.StatusCode != http.StatusInternalServerError || !strings.Contains(text, string(api.ProblemInternal)) || strings.Contains(text, "panic in a handler") {
		t.Errorf("got %s, want an internal problem without the text of the panic", text)
	}
	if !strings.Contains(log.String(), "panic in a handler") {
		t.Errorf("got log %s, want the text of the panic", log.String())
	}
}

// FuzzQueryBody checks that no body causes an internal error or a log line, such as that of
// a panic.
func FuzzQueryBody(f *testing.F) {
	for _, body := range []string{`{"class":"sweep"}`, `{}`, `{"deadline_ms":1e99}`, `[`, "\x00", `{"minimum_coverage":"x"}`, `{"class":"a"}{}`} {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		gateway, log := newTestGateway(&fakeNode{response: &api.QueryResponse{}})
		response := serve(gateway, http.MethodPost, queryPath, body)
		if response.StatusCode == http.StatusInternalServerError || log.Len() > 0 {
			t.Errorf("got status %d and log %q, want no internal error and an empty log", response.StatusCode, log)
		}
	})
}
