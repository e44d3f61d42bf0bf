package query

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/once"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

func TestAtMostOnceRequestIsReplayed(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	first, err := f.runner.Query(context.Background(), "rate-desk", request)
	if err != nil {
		t.Fatal(err)
	}
	f.scatterer.result = scatter.Result[rows.Table]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeFailed}}
	second, err := f.runner.Query(context.Background(), "rate-desk", request)
	if err != nil || second != first || f.scatterer.executions != 1 {
		t.Errorf("replay: got %v, %v after %d executions, want %v after 1", second, err, f.scatterer.executions, first)
	}
}

// TestProblemIsReplayed checks that a request with an unknown outcome is not executed
// again, although a second execution would succeed.
func TestProblemIsReplayed(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	successResult := f.scatterer.result
	f.scatterer.result = scatter.Result[rows.Table]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeUnknown, Reason: dispatch.ReasonConnectionLost}}
	for range 2 {
		_, err := f.runner.Query(context.Background(), "rate-desk", request)
		requireProblem(t, "lost", err, api.ProblemOutcomeUnknown)
		f.scatterer.result = successResult
	}
	if f.scatterer.executions != 1 {
		t.Errorf("got %d executions, want 1", f.scatterer.executions)
	}
}

// TestNotRunRequestCanBeResubmitted checks that the ledger releases the id of a request
// that ran on no leaf.
func TestNotRunRequestCanBeResubmitted(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	successResult := f.scatterer.result
	f.scatterer.result = scatter.Result[rows.Table]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeNotRun, Reason: dispatch.ReasonOverload}}
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireProblem(t, "overload", err, api.ProblemNotRunOverload)
	f.scatterer.result = successResult
	if _, err := f.runner.Query(context.Background(), "rate-desk", request); err != nil {
		t.Errorf("second submission: got %v, want no error", err)
	}
}

func TestInProgressRequestDoesNotRunTwice(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	f.scatterer.onExecute = func(context.Context) {
		f.scatterer.onExecute = nil
		_, err := f.runner.Query(context.Background(), "rate-desk", request)
		problem := requireProblem(t, "in progress", err, api.ProblemOutcomeUnknown)
		if problem.RetryAfterMilliseconds == 0 || !strings.Contains(problem.Detail, "running") {
			t.Errorf("got %+v, want a retry delay and a detail with \"running\"", problem)
		}
	}
	if _, err := f.runner.Query(context.Background(), "rate-desk", request); err != nil || f.scatterer.executions != 1 {
		t.Errorf("got %v after %d executions, want no error after 1", err, f.scatterer.executions)
	}
}

// TestCallerDisconnectDoesNotCancelQuery checks that a query continues without its caller,
// so that a later submission of the id receives its outcome.
func TestCallerDisconnectDoesNotCancelQuery(t *testing.T) {
	f := newFixturePastFence(t)
	ctx, cancel := context.WithCancel(context.Background())
	f.scatterer.onExecute = func(running context.Context) {
		cancel()
		if running.Err() != nil {
			t.Error("the query was cancelled with its caller")
		}
	}
	if _, err := f.runner.Query(ctx, "rate-desk", f.newInsert()); err != nil {
		t.Error(err)
	}
}

func TestRequestIsForwardedToOwner(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsertFor("node-b1")
	request.DeadlineMilliseconds = 700
	f.forwarder.response = &api.QueryResponse{RequestID: request.RequestID}
	response, err := f.runner.Query(context.Background(), "rate-desk", request)
	if err != nil || response != f.forwarder.response || f.forwarder.lastNode != "node-b1" || f.forwarder.lastForward.Remaining != 700*time.Millisecond {
		t.Errorf("got %v, %v from %+v, want the response of node-b1 to a forward with 700ms left", response, err, f.forwarder)
	}
	if f.scatterer.executions != 0 {
		t.Error("the query ran on this node, want it forwarded")
	}
}

// TestForwardErrorsMapToProblems checks that a failed forward never yields the outcome
// "not run": the owner may have run this submission or an earlier one of the same id. Only
// the owner itself may report "not run".
func TestForwardErrorsMapToProblems(t *testing.T) {
	notRun := api.NewProblem(api.ProblemNotRunOverload, "busy")
	cases := []struct {
		name string
		err  error
		want api.ProblemType
	}{
		{"response lost", &ForwardError{Node: "node-b1", Sent: true, Err: errors.New("reset")}, api.ProblemOutcomeUnknown},
		{"owner unreachable", &ForwardError{Node: "node-b1", Sent: false, Err: errors.New("refused")}, api.ProblemUnavailable},
		{"error of another kind", errors.New("strange"), api.ProblemOutcomeUnknown},
		{"problem of the owner", notRun, api.ProblemNotRunOverload},
	}
	for _, test := range cases {
		f := newFixturePastFence(t)
		f.forwarder.err = test.err
		_, err := f.runner.Query(context.Background(), "rate-desk", f.newInsertFor("node-b1"))
		problem := requireProblem(t, test.name, err, test.want)
		if problem != notRun && problem.Outcome == dispatch.OutcomeNotRun {
			t.Errorf("%s: got outcome %s, want another", test.name, problem.Outcome)
		}
		if f.forwarder.calls != 1 {
			t.Errorf("%s: forwarded %d times, want 1", test.name, f.forwarder.calls)
		}
	}
}

// TestOwnRejectsInvalidForwards checks that the owner validates a forwarded query against
// its own catalog, since the forwarding node may hold another one.
func TestOwnRejectsInvalidForwards(t *testing.T) {
	forward := func(f *fixture, owner string) ForwardedQuery {
		return ForwardedQuery{Service: "rate-desk", Request: f.newInsertFor(owner), Remaining: time.Second}
	}
	f := newFixturePastFence(t)
	_, err := f.runner.RunForwarded(context.Background(), forward(f, "node-b1"))
	requireProblem(t, "not the owner", err, api.ProblemUnavailable)
	repeatable := forward(f, "node-a1")
	repeatable.Request.Class, repeatable.Request.Statement = "sweep", fullScan
	_, err = f.runner.RunForwarded(context.Background(), repeatable)
	requireProblem(t, "repeatable here", err, api.ProblemUnavailable)
	if _, err := f.runner.RunForwarded(context.Background(), forward(f, "node-a1")); err != nil || f.scatterer.lastRequest.Timeout != time.Second {
		t.Errorf("own id: got %v with timeout %s, want no error with 1s", err, f.scatterer.lastRequest.Timeout)
	}
	f.catalogs.fresh = false
	_, err = f.runner.RunForwarded(context.Background(), forward(f, "node-a1"))
	requireProblem(t, "stale owner", err, api.ProblemUnavailable)
	if f.scatterer.executions != 1 {
		t.Errorf("got %d executions, want 1", f.scatterer.executions)
	}
}

// TestWithdrawnForwardIsNotRun covers an owner that was paused until the caller's node had withdrawn
// the query, or until its time was over: it must say that the query did not run, instead of running
// it for a caller that has given up.
func TestWithdrawnForwardIsNotRun(t *testing.T) {
	withdrawn, withdraw := context.WithCancel(context.Background())
	withdraw()
	overdue, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Millisecond))
	defer cancel()
	for name, ctx := range map[string]context.Context{"withdrawn": withdrawn, "overdue": overdue} {
		f := newFixturePastFence(t)
		forward := ForwardedQuery{Service: "rate-desk", Request: f.newInsertFor("node-a1"), Remaining: time.Second}
		_, err := f.runner.RunForwarded(ctx, forward)
		problem := requireProblem(t, name, err, api.ProblemNotRunDeadline)
		if problem.Outcome != dispatch.OutcomeNotRun || f.scatterer.executions != 0 {
			t.Errorf("%s: got outcome %s after %d executions, want %s after none", name, problem.Outcome, f.scatterer.executions, dispatch.OutcomeNotRun)
		}
		if _, err := f.runner.RunForwarded(context.Background(), forward); err != nil {
			t.Errorf("%s: second submission: got %v, want no error", name, err)
		}
	}
}

// TestStaleCatalogAfterDecisionReleasesID checks that an accepted id is released if the
// catalog became stale after the decision, so that the request may be submitted again.
func TestStaleCatalogAfterDecisionReleasesID(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	f.catalogs.staleAtCall = 2 // the second call of Fresh follows the decision
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireProblem(t, "stale", err, api.ProblemUnavailable)
	f.catalogs.fresh = true
	if _, err := f.runner.Query(context.Background(), "rate-desk", request); err != nil || f.scatterer.executions != 1 {
		t.Errorf("got %v after %d executions, want no error after 1", err, f.scatterer.executions)
	}
}

// TestOwnerWithoutVoterMajorityRefuses covers an owner that is fresh from reading the
// store but has no contact with the voters: another process may have taken over its slot
// and run the same id.
func TestOwnerWithoutVoterMajorityRefuses(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	f.withoutMajority = true
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireUnavailable(t, "cut off", err)
	if f.scatterer.executions != 0 {
		t.Error("the query ran, want it refused")
	}
	f.withoutMajority = false
	if _, err := f.runner.Query(context.Background(), "rate-desk", request); err != nil {
		t.Errorf("with the majority again: got %v, want no error", err)
	}
}

func TestNoVotersIsUnavailable(t *testing.T) {
	f := newFixture(t)
	request := f.newInsert()
	f.catalogs.current.Voters = nil
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireProblem(t, "no voters", err, api.ProblemUnavailable)
}

func TestEveryRefusalReasonIsDescribed(t *testing.T) {
	for _, reason := range []once.Reason{once.ReasonFenced, once.ReasonTooOld, once.ReasonFuture, once.ReasonFull, once.ReasonSuspended} {
		if refusalDescriptions[reason] == "" {
			t.Errorf("refusal reason %s has no description", reason)
		}
	}
}

func requireUnavailable(t *testing.T, name string, err error) {
	t.Helper()
	if problem := requireProblem(t, name, err, api.ProblemUnavailable); problem.Outcome == dispatch.OutcomeNotRun {
		t.Errorf("%s: got outcome %s, want another", name, problem.Outcome)
	}
}
