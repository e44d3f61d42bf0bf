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

const broadSelect = "select lane from rate-desk"

func share(value float64) *float64 { return &value }

// TestInvalidRequestsRunNowhere sends what is wrong; nothing reaches a leaf.
func TestInvalidRequestsRunNowhere(t *testing.T) {
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
		return func(r *api.QueryRequest) { r.MinimumCoverage = share(value) }
	}
	cases := []struct {
		name, service string
		request       api.QueryRequest
		want          api.ProblemType
		detail        string
	}{
		{"unknown service", "rate-desks", sweep(broadSelect), api.ProblemUnknownService, `"rate-desks"`},
		{"unknown class", "rate-desk", api.QueryRequest{Class: "sweeps", Statement: broadSelect}, api.ProblemUnknownClass, `"sweeps"`},
		{"no class", "rate-desk", api.QueryRequest{Statement: broadSelect}, api.ProblemUnknownClass, `""`},
		{"negative deadline", "rate-desk", with(sweep(broadSelect), deadline(-1)), api.ProblemInvalidDeadline, "between 1 and 2000"},
		{"deadline beyond the class", "rate-desk", with(sweep(broadSelect), deadline(2001)), api.ProblemInvalidDeadline, "between 1 and 2000"},
		{"deadline that overflows", "rate-desk", with(sweep(broadSelect), deadline(math.MaxInt64)), api.ProblemInvalidDeadline, "between 1 and 2000"},
		{"deadline that overflows to a valid one", "rate-desk", with(sweep(broadSelect), deadline(1<<58+1)), api.ProblemInvalidDeadline, "between 1 and 2000"},
		{"coverage above 1", "rate-desk", with(sweep(broadSelect), coverage(1.1)), api.ProblemInvalidRequest, "between 0 and 1"},
		{"coverage that is no number", "rate-desk", with(sweep(broadSelect), coverage(math.NaN())), api.ProblemInvalidRequest, "between 0 and 1"},
		{"syntax error", "rate-desk", sweep("select lane form rate-desk"), api.ProblemSyntax, "from"},
		{"no statement", "rate-desk", sweep(""), api.ProblemSyntax, "no statement"},
		{"two statements", "rate-desk", sweep(broadSelect + "; " + broadSelect), api.ProblemSyntax, "more than one"},
		{"operators' statement", "rate-desk", sweep("stop service rate-desk"), api.ProblemInvalidRequest, "a select or an insert"},
		{"leaf named by a name", "rate-desk", sweep("add leaf localhost:7101 to rate-desk zone a shards 0"), api.ProblemSyntax, "address"},
		{"another service", "rate-desk", sweep("select lane from filing-vault"), api.ProblemInvalidRequest, "names service filing-vault"},
		{"insert of a repeatable class", "rate-desk", sweep(insert), api.ProblemInvalidRequest, `"once"`},
		{"insert without key", "rate-desk", file(validID, "insert into rate-desk (lane) values ('OTR-SPK')"), api.ProblemInvalidRequest, "column quote"},
		{"insert into a service without key", "plain", file(validID, "insert into plain (lane) values ('OTR-SPK')"), api.ProblemInvalidRequest, "no key column"},
		{"broad select of a once class", "rate-desk", file(validID, broadSelect), api.ProblemInvalidRequest, "one key"},
		{"once without id", "rate-desk", file("", insert), api.ProblemInvalidRequest, "ULID"},
		{"once with an id that is no ULID", "rate-desk", file("order-17", insert), api.ProblemInvalidRequest, "ULID"},
		{"id too long", "rate-desk", with(sweep(broadSelect), func(r *api.QueryRequest) { r.RequestID = strings.Repeat("x", 129) }), api.ProblemInvalidRequest, "128 bytes"},
	}
	for _, test := range cases {
		fixture := newFixture(t)
		_, err := fixture.runner.Query(context.Background(), test.service, test.request)
		problem := requireProblem(t, test.name, err, test.want)
		given := test.request.RequestID
		if !strings.Contains(problem.Detail, test.detail) || (given != "" && problem.RequestID != given) {
			t.Errorf("%s: got %+v", test.name, problem)
		}
		if fixture.scatterer.calls+fixture.forwarder.calls != 0 {
			t.Errorf("%s: a leaf or a node was asked", test.name)
		}
	}
}

func TestSyntaxProblemPointsAtThePlace(t *testing.T) {
	fixture := newFixture(t)
	_, err := fixture.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: "select lane\tform rate-desk"})
	problem := requireProblem(t, "syntax", err, api.ProblemSyntax)
	if problem.Line != 1 || problem.Column != 13 || !strings.Contains(problem.Expected, "from") {
		t.Errorf("got %+v", problem)
	}
}

// TestDeadlineAndCoverageOfTheClass checks what stands in for absent values.
func TestDeadlineAndCoverageOfTheClass(t *testing.T) {
	for _, test := range []struct {
		request  api.QueryRequest
		timeout  time.Duration
		coverage float64
	}{
		{api.QueryRequest{Class: "sweep", Statement: broadSelect}, 2 * time.Second, 0.9},
		{api.QueryRequest{Class: "sweep", Statement: broadSelect, DeadlineMilliseconds: 1, MinimumCoverage: share(0)}, time.Millisecond, 0},
		{api.QueryRequest{Class: "sweep", Statement: broadSelect, DeadlineMilliseconds: 2000, MinimumCoverage: share(1)}, 2 * time.Second, 1},
	} {
		fixture := newFixture(t)
		answer, err := fixture.runner.Query(context.Background(), "rate-desk", test.request)
		if err != nil {
			t.Fatal(err)
		}
		sent := fixture.scatterer.last
		if sent.Timeout != test.timeout || sent.MinimumCoverage != test.coverage || sent.HasKey {
			t.Errorf("sent %+v", sent)
		}
		if answer.RequestID == "" || answer.RequestID != sent.RequestID {
			t.Errorf("the id that was made up is %q, and %q to the leaves", answer.RequestID, sent.RequestID)
		}
	}
}

func TestSelectOfOneKeyGoesToItsShard(t *testing.T) {
	fixture := newFixture(t)
	statement := "select * from rate-desk where lane = 'OTR-SPK' and quote = 'Q-17'"
	if _, err := fixture.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: statement}); err != nil {
		t.Fatal(err)
	}
	sent := fixture.scatterer.last
	if want := rows.KeyHash(rows.Value{Kind: rows.Text, Text: "Q-17"}); !sent.HasKey || sent.KeyHash != want {
		t.Errorf("sent %+v, want the key hash %d", sent, want)
	}
}

// TestStaleNodeTakesNothing says "not run" only of a request that may be
// repeated: one that may not could have run at another node before.
func TestStaleNodeTakesNothing(t *testing.T) {
	fixture := newFixture(t)
	fixture.catalogs.fresh = false
	_, err := fixture.runner.Query(context.Background(), "rate-desk", api.QueryRequest{RequestID: "a", Class: "sweep", Statement: broadSelect})
	problem := requireProblem(t, "repeatable", err, api.ProblemNotRunStale)
	if problem.Outcome != dispatch.OutcomeNotRun || problem.RetryAfterMilliseconds != retryWhenStale.Milliseconds() {
		t.Errorf("got %+v", problem)
	}
	_, err = fixture.runner.Query(context.Background(), "rate-desk", fixture.filing())
	problem = requireProblem(t, "once", err, api.ProblemUnavailable)
	if problem.Outcome == dispatch.OutcomeNotRun || !strings.Contains(problem.Detail, "an earlier one of the same id may have") {
		t.Errorf("got %+v", problem)
	}
	if fixture.scatterer.calls != 0 {
		t.Error("a leaf was asked")
	}
}

// TestProblemOfEachFate maps what the dispatcher says to what the caller gets.
func TestProblemOfEachFate(t *testing.T) {
	finish := func(outcome dispatch.Outcome, reason dispatch.Reason) dispatch.Finish {
		return dispatch.Finish{Outcome: outcome, Reason: reason, Total: 8, Missing: []int{0, 1, 2, 3, 4, 5, 6, 7}}
	}
	answered := finish(dispatch.OutcomeFailed, dispatch.ReasonInvalid)
	answered.Answered = []dispatch.ShardAnswer{{Shard: 3, Attempt: 9}}
	cases := []struct {
		name   string
		finish dispatch.Finish
		want   api.ProblemType
	}{
		{"overload", finish(dispatch.OutcomeNotRun, dispatch.ReasonOverload), api.ProblemNotRunOverload},
		{"stopped", finish(dispatch.OutcomeNotRun, dispatch.ReasonStopped), api.ProblemNotRunStopped},
		{"no leaf", finish(dispatch.OutcomeNotRun, dispatch.ReasonNoLeaf), api.ProblemNotRunNoLeaf},
		{"no snapshot", finish(dispatch.OutcomeNotRun, dispatch.ReasonNoSnapshot), api.ProblemNotRunSnapshot},
		{"deadline", finish(dispatch.OutcomeNotRun, dispatch.ReasonDeadline), api.ProblemNotRunDeadline},
		{"refused", finish(dispatch.OutcomeNotRun, dispatch.ReasonRefused), api.ProblemNotRunRefused},
		{"never sent", finish(dispatch.OutcomeNotRun, dispatch.ReasonConnectionLost), api.ProblemNotRunRefused},
		{"cancelled", finish(dispatch.OutcomeNotRun, dispatch.ReasonCancelled), api.ProblemNotRunCancelled},
		{"statement that no leaf can run", finish(dispatch.OutcomeNotRun, dispatch.ReasonInvalid), api.ProblemInvalidRequest},
		{"the same, with attempts on their way", finish(dispatch.OutcomeFailed, dispatch.ReasonInvalid), api.ProblemInvalidRequest},
		{"statement that some leaves can run", answered, api.ProblemFailed},
		{"insert that may have run", finish(dispatch.OutcomeUnknown, dispatch.ReasonInvalid), api.ProblemOutcomeUnknown},
		{"failed", finish(dispatch.OutcomeFailed, dispatch.ReasonDeadline), api.ProblemFailed},
		{"unknown", finish(dispatch.OutcomeUnknown, dispatch.ReasonConnectionLost), api.ProblemOutcomeUnknown},
	}
	for _, test := range cases {
		fixture := newFixture(t)
		test.finish.RetryAfter = 1500 * time.Microsecond
		fixture.scatterer.result = scatter.Result[rows.Table]{Finish: test.finish, Detail: "a leaf's word"}
		_, err := fixture.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: broadSelect})
		problem := requireProblem(t, test.name, err, test.want)
		if problem.Outcome != test.finish.Outcome || problem.Reason != test.finish.Reason || problem.RetryAfterMilliseconds != 2 || problem.Detail != "a leaf's word" {
			t.Errorf("%s: got %+v", test.name, problem)
		}
		// A type that says "not run" is given only where that is the outcome.
		saysNotRun := strings.HasPrefix(string(problem.Type), "urn:micaplank:problem:not-run")
		if saysNotRun && problem.Outcome != dispatch.OutcomeNotRun {
			t.Errorf("%s: %s for outcome %s", test.name, problem.Type, problem.Outcome)
		}
	}
}

// TestAnswerCoversWhatTheDispatcherCounts merges and reports partial coverage.
func TestAnswerCoversWhatTheDispatcherCounts(t *testing.T) {
	fixture := newFixture(t)
	lane := func(name string) rows.Table {
		return rows.Table{Columns: []string{"lane"}, Rows: []rows.Row{{rows.Value{Kind: rows.Text, Text: name}}}}
	}
	fixture.scatterer.result = scatter.Result[rows.Table]{
		Finish: dispatch.Finish{
			Outcome: dispatch.OutcomePartial, Reason: dispatch.ReasonDeadline, Total: 3, Missing: []int{1},
			Answered: []dispatch.ShardAnswer{{Shard: 0, Attempt: 1}, {Shard: 2, Attempt: 3}},
		},
		Parts: []scatter.ShardPart[rows.Table]{{Shard: 2, Part: lane("b")}, {Shard: 0, Part: lane("a")}},
	}
	answer, err := fixture.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: broadSelect})
	if err != nil {
		t.Fatal(err)
	}
	if c := answer.Coverage; c.Answered != 2 || c.Total != 3 || len(c.Missing) != 1 || c.Missing[0] != 1 {
		t.Errorf("coverage %+v", c)
	}
	if len(answer.Rows) != 2 || answer.Rows[0][0].Text != "a" || answer.Outcome != dispatch.OutcomePartial {
		t.Errorf("got %+v", answer)
	}
}

// TestTablesThatDoNotFitAreAnInternalError gives no half-merged answer.
func TestTablesThatDoNotFitAreAnInternalError(t *testing.T) {
	fixture := newFixture(t)
	fixture.scatterer.result.Parts = []scatter.ShardPart[rows.Table]{{Shard: 0, Part: rows.Table{Columns: []string{"other"}}}}
	_, err := fixture.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: broadSelect})
	requireProblem(t, "columns", err, api.ProblemInternal)
}

func TestServiceThatIsNotInstalledYet(t *testing.T) {
	fixture := newFixture(t)
	fixture.scatterers.missing = true
	_, err := fixture.runner.Query(context.Background(), "rate-desk", api.QueryRequest{Class: "sweep", Statement: broadSelect})
	requireProblem(t, "not installed", err, api.ProblemNotRunSnapshot)
}

func requireProblem(t *testing.T, name string, err error, want api.ProblemType) *api.Problem {
	t.Helper()
	var problem *api.Problem
	if !errors.As(err, &problem) || problem.Type != want {
		t.Fatalf("%s: got %v, want %s", name, err, want)
	}
	return problem
}
