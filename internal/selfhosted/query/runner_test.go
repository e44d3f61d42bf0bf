package query

import (
	"context"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

const fullScan = "select lane from rate-desk"

func floatPointer(value float64) *float64 { return &value }

// TestInvalidRequestsAreRejectedBeforeExecution checks that an invalid request gets the
// right problem and reaches neither a leaf nor another node.
func TestInvalidRequestsAreRejectedBeforeExecution(t *testing.T) {
	sweep := func(statement string) api.QueryRequest {
		return api.QueryRequest{Class: "sweep", Statement: statement}
	}
	file := func(id, statement string) api.QueryRequest {
		return api.QueryRequest{RequestID: id, Class: "file", Statement: statement}
	}
	insert := "insert into rate-desk (quote, lane) values ('Q-1', 'OTR-SPK')"
	with := func(request api.QueryRequest, change func(*api.QueryRequest)) api.QueryRequest {
		change(&request)
		return request
	}
	deadline := func(milliseconds int64) func(*api.QueryRequest) {
		return func(r *api.QueryRequest) { r.DeadlineMilliseconds = milliseconds }
	}
	coverage := func(value float64) func(*api.QueryRequest) {
		return func(r *api.QueryRequest) { r.MinimumCoverage = floatPointer(value) }
	}
	cases := []struct {
		name, service string
		request       api.QueryRequest
		want          api.ProblemType
		detail        string
	}{
		{"unknown service", "rate-desks", sweep(fullScan), api.ProblemUnknownService, `"rate-desks"`},
		{"unknown class", "rate-desk", api.QueryRequest{Class: "sweeps", Statement: fullScan}, api.ProblemUnknownClass, `"sweeps"`},
		{"no class", "rate-desk", api.QueryRequest{Statement: fullScan}, api.ProblemUnknownClass, `""`},
		{"negative deadline", "rate-desk", with(sweep(fullScan), deadline(-1)), api.ProblemInvalidDeadline, "between 1 and 2000"},
		{"deadline beyond the class", "rate-desk", with(sweep(fullScan), deadline(2001)), api.ProblemInvalidDeadline, "between 1 and 2000"},
		{"deadline that overflows", "rate-desk", with(sweep(fullScan), deadline(math.MaxInt64)), api.ProblemInvalidDeadline, "between 1 and 2000"},
		{"deadline that overflows to a valid one", "rate-desk", with(sweep(fullScan), deadline(1<<58+1)), api.ProblemInvalidDeadline, "between 1 and 2000"},
		{"coverage above 1", "rate-desk", with(sweep(fullScan), coverage(1.1)), api.ProblemInvalidRequest, "between 0 and 1"},
		{"coverage that is no number", "rate-desk", with(sweep(fullScan), coverage(math.NaN())), api.ProblemInvalidRequest, "between 0 and 1"},
		{"syntax error", "rate-desk", sweep("select lane form rate-desk"), api.ProblemSyntax, "from"},
		{"no statement", "rate-desk", sweep(""), api.ProblemSyntax, "no statement"},
		{"two statements", "rate-desk", sweep(fullScan + "; " + fullScan), api.ProblemSyntax, "more than one"},
		{"operators' statement", "rate-desk", sweep("stop service rate-desk"), api.ProblemInvalidRequest, "a select or an insert"},
		{"leaf named by a name", "rate-desk", sweep("add leaf localhost:7101 to rate-desk zone a shards 0"), api.ProblemSyntax, "address"},
		{"another service", "rate-desk", sweep("select lane from filing-vault"), api.ProblemInvalidRequest, "names service filing-vault"},
		{"insert of a repeatable class", "rate-desk", sweep(insert), api.ProblemInvalidRequest, `"once"`},
		{"insert without key", "rate-desk", file(validID, "insert into rate-desk (lane) values ('OTR-SPK')"), api.ProblemInvalidRequest, "column quote"},
		{"insert into a service without key", "plain", file(validID, "insert into plain (lane) values ('OTR-SPK')"), api.ProblemInvalidRequest, "no key column"},
		{"broad select of a once class", "rate-desk", file(validID, fullScan), api.ProblemInvalidRequest, "one key"},
		{"once without id", "rate-desk", file("", insert), api.ProblemInvalidRequest, "ULID"},
		{"once with an id that is no ULID", "rate-desk", file("order-17", insert), api.ProblemInvalidRequest, "ULID"},
		{"id too long", "rate-desk", with(sweep(fullScan), func(r *api.QueryRequest) { r.RequestID = strings.Repeat("x", 129) }), api.ProblemInvalidRequest, "128 bytes"},
	}
	for _, test := range cases {
		f := newFixture(t)
		_, err := f.runner.Query(context.Background(), test.service, test.request)
		problem := requireProblem(t, test.name, err, test.want)
		given := test.request.RequestID
		if !strings.Contains(problem.Detail, test.detail) || (given != "" && problem.RequestID != given) {
			t.Errorf("%s: got %+v, want detail %q and request id %q", test.name, problem, test.detail, given)
		}
		if f.scatterer.executions+f.forwarder.calls != 0 {
			t.Errorf("%s: the request was sent to a leaf or a node", test.name)
		}
	}
}

func TestSyntaxProblemHasPosition(t *testing.T) {
	f := newFixture(t)
	_, err := f.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: "select lane\tform rate-desk"})
	problem := requireProblem(t, "syntax", err, api.ProblemSyntax)
	if problem.Line != 1 || problem.Column != 13 || !strings.Contains(problem.Expected, "from") {
		t.Errorf("got %+v, want line 1, column 13 and \"from\" expected", problem)
	}
}

// TestDeadlineAndCoverageDefaultToClass checks the values of requests that omit the
// deadline, the coverage or the request id.
func TestDeadlineAndCoverageDefaultToClass(t *testing.T) {
	for _, test := range []struct {
		request  api.QueryRequest
		timeout  time.Duration
		coverage float64
	}{
		{api.QueryRequest{Class: "sweep", Statement: fullScan}, 2 * time.Second, 0.9},
		{api.QueryRequest{Class: "sweep", Statement: fullScan, DeadlineMilliseconds: 1, MinimumCoverage: floatPointer(0)}, time.Millisecond, 0},
		{api.QueryRequest{Class: "sweep", Statement: fullScan, DeadlineMilliseconds: 2000, MinimumCoverage: floatPointer(1)}, 2 * time.Second, 1},
	} {
		f := newFixture(t)
		response, err := f.runner.Query(context.Background(), "rate-desk", test.request)
		if err != nil {
			t.Fatal(err)
		}
		request := f.scatterer.lastRequest
		if request.Timeout != test.timeout || request.MinimumCoverage != test.coverage || request.HasKey {
			t.Errorf("got request %+v, want timeout %s, coverage %v and no key", request, test.timeout, test.coverage)
		}
		if response.RequestID == "" || response.RequestID != request.RequestID {
			t.Errorf("got generated request id %q, want the one sent to the leaves, %q", response.RequestID, request.RequestID)
		}
	}
}

func TestKeyEqualitySelectsShard(t *testing.T) {
	f := newFixture(t)
	statement := "select * from rate-desk where lane = 'OTR-SPK' and quote = 'Q-17'"
	if _, err := f.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: statement}); err != nil {
		t.Fatal(err)
	}
	request := f.scatterer.lastRequest
	if want := rows.KeyHash(rows.Value{Kind: rows.Text, Text: "Q-17"}); !request.HasKey || request.KeyHash != want {
		t.Errorf("got request %+v, want key hash %d", request, want)
	}
}

// TestStaleNodeRefusesRequests checks that a stale node reports "not run" only for a
// repeatable request: an earlier submission of an at-most-once request may have run at
// another node.
func TestStaleNodeRefusesRequests(t *testing.T) {
	f := newFixture(t)
	f.catalogs.fresh = false
	_, err := f.runner.Query(context.Background(), "rate-desk", api.QueryRequest{RequestID: "a", Class: "sweep", Statement: fullScan})
	problem := requireProblem(t, "repeatable", err, api.ProblemNotRunStale)
	if problem.Outcome != dispatch.OutcomeNotRun || problem.RetryAfterMilliseconds != retryWhenStale.Milliseconds() {
		t.Errorf("got %+v, want outcome not_run with a retry delay of %s", problem, retryWhenStale)
	}
	_, err = f.runner.Query(context.Background(), "rate-desk", f.newInsert())
	problem = requireProblem(t, "once", err, api.ProblemUnavailable)
	if problem.Outcome == dispatch.OutcomeNotRun || !strings.Contains(problem.Detail, "an earlier one of the same id may have") {
		t.Errorf("got %+v, want an outcome other than not_run that mentions an earlier submission", problem)
	}
	if f.scatterer.executions != 0 {
		t.Error("a request was sent to a leaf")
	}
}

// TestOutcomesMapToProblems checks the problem for each outcome and reason of the
// dispatcher.
func TestOutcomesMapToProblems(t *testing.T) {
	finish := func(outcome dispatch.Outcome, reason dispatch.Reason) dispatch.Finish {
		return dispatch.Finish{Outcome: outcome, Reason: reason, Total: 8, Missing: []int{0, 1, 2, 3, 4, 5, 6, 7}}
	}
	partlyAnswered := finish(dispatch.OutcomeFailed, dispatch.ReasonInvalid)
	partlyAnswered.Answered = []dispatch.ShardAnswer{{Shard: 3, Attempt: 9}}
	cases := []struct {
		name   string
		finish dispatch.Finish
		want   api.ProblemType
	}{
		{"overload", finish(dispatch.OutcomeNotRun, dispatch.ReasonOverload), api.ProblemNotRunOverload},
		{"stopped", finish(dispatch.OutcomeNotRun, dispatch.ReasonStopped), api.ProblemNotRunStopped},
		{"no leaf", finish(dispatch.OutcomeNotRun, dispatch.ReasonNoLeaf), api.ProblemNotRunNoLeaf},
		{"no snapshot", finish(dispatch.OutcomeNotRun, dispatch.ReasonNoSnapshot), api.ProblemNotRunNoSnapshot},
		{"deadline", finish(dispatch.OutcomeNotRun, dispatch.ReasonDeadline), api.ProblemNotRunDeadline},
		{"refused", finish(dispatch.OutcomeNotRun, dispatch.ReasonRefused), api.ProblemNotRunRefused},
		{"never sent", finish(dispatch.OutcomeNotRun, dispatch.ReasonConnectionLost), api.ProblemNotRunRefused},
		{"cancelled", finish(dispatch.OutcomeNotRun, dispatch.ReasonCancelled), api.ProblemNotRunCancelled},
		{"statement that no leaf can run", finish(dispatch.OutcomeNotRun, dispatch.ReasonInvalid), api.ProblemInvalidRequest},
		{"the same, with attempts on their way", finish(dispatch.OutcomeFailed, dispatch.ReasonInvalid), api.ProblemInvalidRequest},
		{"statement that some leaves can run", partlyAnswered, api.ProblemFailed},
		{"insert that may have run", finish(dispatch.OutcomeUnknown, dispatch.ReasonInvalid), api.ProblemOutcomeUnknown},
		{"failed", finish(dispatch.OutcomeFailed, dispatch.ReasonDeadline), api.ProblemFailed},
		{"unknown", finish(dispatch.OutcomeUnknown, dispatch.ReasonConnectionLost), api.ProblemOutcomeUnknown},
	}
	for _, test := range cases {
		f := newFixture(t)
		test.finish.RetryAfter = 1500 * time.Microsecond
		f.scatterer.result = scatter.Result[rows.Table]{Finish: test.finish, Detail: "detail of a leaf"}
		_, err := f.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: fullScan})
		problem := requireProblem(t, test.name, err, test.want)
		if problem.Outcome != test.finish.Outcome || problem.Reason != test.finish.Reason || problem.RetryAfterMilliseconds != 2 || problem.Detail != "detail of a leaf" {
			t.Errorf("%s: got %+v", test.name, problem)
		}
		// A "not run" type is used only for the outcome "not run".
		saysNotRun := strings.HasPrefix(string(problem.Type), "urn:micaplank:problem:not-run")
		if saysNotRun && problem.Outcome != dispatch.OutcomeNotRun {
			t.Errorf("%s: got problem type %s for outcome %s", test.name, problem.Type, problem.Outcome)
		}
	}
}

// TestPartialResponseReportsCoverage checks that a partial response merges the tables of
// the answered shards and lists the missing ones.
func TestPartialResponseReportsCoverage(t *testing.T) {
	f := newFixture(t)
	lane := func(name string) rows.Table {
		return rows.Table{Columns: []string{"lane"}, Rows: []rows.Row{{rows.Value{Kind: rows.Text, Text: name}}}}
	}
	f.scatterer.result = scatter.Result[rows.Table]{
		Finish: dispatch.Finish{
			Outcome: dispatch.OutcomePartial, Reason: dispatch.ReasonDeadline, Total: 3, Missing: []int{1},
			Answered: []dispatch.ShardAnswer{{Shard: 0, Attempt: 1}, {Shard: 2, Attempt: 3}},
		},
		Parts: []scatter.ShardPart[rows.Table]{{Shard: 2, Part: lane("b")}, {Shard: 0, Part: lane("a")}},
	}
	response, err := f.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: fullScan})
	if err != nil {
		t.Fatal(err)
	}
	if c := response.Coverage; c.Answered != 2 || c.Total != 3 || len(c.Missing) != 1 || c.Missing[0] != 1 {
		t.Errorf("got coverage %+v, want 2 of 3 shards with shard 1 missing", c)
	}
	if len(response.Rows) != 2 || response.Rows[0][0].Text != "a" || response.Outcome != dispatch.OutcomePartial {
		t.Errorf("got %+v, want a partial response with rows a and b", response)
	}
}

// TestMismatchedColumnsAreInternalError checks that a table with unexpected columns fails
// the query instead of yielding a partly merged table.
func TestMismatchedColumnsAreInternalError(t *testing.T) {
	f := newFixture(t)
	f.scatterer.result.Parts = []scatter.ShardPart[rows.Table]{{Shard: 0, Part: rows.Table{Columns: []string{"other"}}}}
	_, err := f.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: fullScan})
	requireProblem(t, "columns", err, api.ProblemInternal)
}

func TestUninstalledServiceIsNotRun(t *testing.T) {
	f := newFixture(t)
	f.scatterers.missing = true
	_, err := f.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: fullScan})
	requireProblem(t, "not installed", err, api.ProblemNotRunNoSnapshot)
}

func requireProblem(t *testing.T, name string, err error, want api.ProblemType) *api.Problem {
	t.Helper()
	var problem *api.Problem
	if !errors.As(err, &problem) || problem.Type != want {
		t.Fatalf("%s: got %v, want %s", name, err, want)
	}
	return problem
}
