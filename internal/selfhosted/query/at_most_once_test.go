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
	if err != nil || second != first || f.scatterer.calls != 1 {
		t.Errorf("the replay is %v, %v after %d runs", second, err, f.scatterer.calls)
	}
}

// TestProblemIsReplayed keeps the fate of a request that may have run.
func TestProblemIsReplayed(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	successResult := f.scatterer.result
	f.scatterer.result = scatter.Result[rows.Table]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeUnknown, Reason: dispatch.ReasonLost}}
	for range 2 {
		_, err := f.runner.Query(context.Background(), "rate-desk", request)
		requireProblem(t, "lost", err, api.ProblemOutcomeUnknown)
		f.scatterer.result = successResult
	}
	if f.scatterer.calls != 1 {
		t.Errorf("it ran %d times", f.scatterer.calls)
	}
}

// TestNotRunMayBeSubmittedAgain forgets an id that ran nowhere.
func TestNotRunRequestCanBeResubmitted(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	successResult := f.scatterer.result
	f.scatterer.result = scatter.Result[rows.Table]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeNotRun, Reason: dispatch.ReasonOverload}}
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireProblem(t, "overload", err, api.ProblemNotRunOverload)
	f.scatterer.result = successResult
	if _, err := f.runner.Query(context.Background(), "rate-desk", request); err != nil {
		t.Errorf("the second submission: %v", err)
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
			t.Errorf("got %+v", problem)
		}
	}
	if _, err := f.runner.Query(context.Background(), "rate-desk", request); err != nil || f.scatterer.calls != 1 {
		t.Errorf("%v after %d runs", err, f.scatterer.calls)
	}
}

// TestCallerThatGoesAwayDoesNotEndTheRun lets a later submission learn it.
func TestCallerDisconnectDoesNotCancelQuery(t *testing.T) {
	f := newFixturePastFence(t)
	ctx, cancel := context.WithCancel(context.Background())
	f.scatterer.onExecute = func(running context.Context) {
		cancel()
		if running.Err() != nil {
			t.Error("the run was cancelled")
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
		t.Errorf("got %v, %v by %+v", response, err, f.forwarder)
	}
	if f.scatterer.calls != 0 {
		t.Error("it ran here")
	}
}

// TestFatesOfAForward never says "not run" of what the owner may have run, nor
// of an id that may have been submitted before.
func TestForwardErrorsMapToProblems(t *testing.T) {
	notRun := api.NewProblem(api.ProblemNotRunOverload, "busy")
	cases := []struct {
		name string
		err  error
		want api.ProblemType
	}{
		{"answer lost", &ForwardError{Node: "node-b1", Sent: true, Err: errors.New("reset")}, api.ProblemOutcomeUnknown},
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
			t.Errorf("%s: said to be not run", test.name)
		}
		if f.forwarder.calls != 1 {
			t.Errorf("%s: forwarded %d times", test.name, f.forwarder.calls)
		}
	}
}

// TestOwnChecksAgain refuses what a node with another view forwarded.
func TestOwnRejectsInvalidForwards(t *testing.T) {
	forward := func(f *fixture, owner string) Forward {
		return Forward{Service: "rate-desk", Request: f.newInsertFor(owner), Remaining: time.Second}
	}
	f := newFixturePastFence(t)
	_, err := f.runner.Own(context.Background(), forward(f, "node-b1"))
	requireProblem(t, "not the owner", err, api.ProblemUnavailable)
	repeatable := forward(f, "node-a1")
	repeatable.Request.Class, repeatable.Request.Statement = "sweep", fullScan
	_, err = f.runner.Own(context.Background(), repeatable)
	requireProblem(t, "repeatable here", err, api.ProblemUnavailable)
	if _, err := f.runner.Own(context.Background(), forward(f, "node-a1")); err != nil || f.scatterer.lastRequest.Timeout != time.Second {
		t.Errorf("own id: %v, with %s left", err, f.scatterer.lastRequest.Timeout)
	}
	f.catalogs.fresh = false
	_, err = f.runner.Own(context.Background(), forward(f, "node-a1"))
	requireProblem(t, "stale owner", err, api.ProblemUnavailable)
	if f.scatterer.calls != 1 {
		t.Errorf("%d runs", f.scatterer.calls)
	}
}

// TestStaleAfterTheDecision gives the id back: the decision does not count.
func TestStaleCatalogAfterDecisionReleasesID(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	f.catalogs.staleAtCall = 2 // fresh when it arrives, stale after the decision
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireProblem(t, "stale", err, api.ProblemUnavailable)
	f.catalogs.fresh = true
	if _, err := f.runner.Query(context.Background(), "rate-desk", request); err != nil || f.scatterer.calls != 1 {
		t.Errorf("%v after %d runs", err, f.scatterer.calls)
	}
}

// TestOwnerThatIsCutOffFromTheVoters is fresh, by reading the store. Another
// process may have its slot and run the same id.
func TestOwnerWithoutVoterMajorityRefuses(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	f.withoutMajority = true
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireUnavailable(t, "cut off", err)
	if f.scatterer.calls != 0 {
		t.Error("it ran")
	}
	f.withoutMajority = false
	if _, err := f.runner.Query(context.Background(), "rate-desk", request); err != nil {
		t.Errorf("back in touch: %v", err)
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
			t.Errorf("no words for %s", reason)
		}
	}
}

func requireUnavailable(t *testing.T, name string, err error) {
	t.Helper()
	if problem := requireProblem(t, name, err, api.ProblemUnavailable); problem.Outcome == dispatch.OutcomeNotRun {
		t.Errorf("%s: said to be not run", name)
	}
}
