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

func TestOnceRunsAndIsReplayed(t *testing.T) {
	f := settled(t)
	request := f.filing()
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
	f := settled(t)
	request := f.filing()
	answered := f.scatterer.result
	f.scatterer.result = scatter.Result[rows.Table]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeUnknown, Reason: dispatch.ReasonConnectionLost}}
	for range 2 {
		_, err := f.runner.Query(context.Background(), "rate-desk", request)
		requireProblem(t, "lost", err, api.ProblemOutcomeUnknown)
		f.scatterer.result = answered
	}
	if f.scatterer.calls != 1 {
		t.Errorf("it ran %d times", f.scatterer.calls)
	}
}

// TestNotRunMayBeSubmittedAgain forgets an id that ran nowhere.
func TestNotRunMayBeSubmittedAgain(t *testing.T) {
	f := settled(t)
	request := f.filing()
	answered := f.scatterer.result
	f.scatterer.result = scatter.Result[rows.Table]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeNotRun, Reason: dispatch.ReasonOverload}}
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireProblem(t, "overload", err, api.ProblemNotRunOverload)
	f.scatterer.result = answered
	if _, err := f.runner.Query(context.Background(), "rate-desk", request); err != nil {
		t.Errorf("the second submission: %v", err)
	}
}

func TestInProgressIsToldAndDoesNotRunTwice(t *testing.T) {
	f := settled(t)
	request := f.filing()
	f.scatterer.during = func(context.Context) {
		f.scatterer.during = nil
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
func TestCallerThatGoesAwayDoesNotEndTheRun(t *testing.T) {
	f := settled(t)
	ctx, cancel := context.WithCancel(context.Background())
	f.scatterer.during = func(running context.Context) {
		cancel()
		if running.Err() != nil {
			t.Error("the run was cancelled")
		}
	}
	if _, err := f.runner.Query(ctx, "rate-desk", f.filing()); err != nil {
		t.Error(err)
	}
}

func TestOtherNodesIdsAreForwarded(t *testing.T) {
	f := settled(t)
	request := f.filingOf("node-b1")
	request.DeadlineMilliseconds = 700
	f.forwarder.answer = &api.QueryResponse{RequestID: request.RequestID}
	answer, err := f.runner.Query(context.Background(), "rate-desk", request)
	if err != nil || answer != f.forwarder.answer || f.forwarder.node != "node-b1" || f.forwarder.sent.Remaining != 700*time.Millisecond {
		t.Errorf("got %v, %v by %+v", answer, err, f.forwarder)
	}
	if f.scatterer.calls != 0 {
		t.Error("it ran here")
	}
}

// TestFatesOfAForward never says "not run" of what the owner may have run, nor
// of an id that may have been submitted before.
func TestFatesOfAForward(t *testing.T) {
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
		f := settled(t)
		f.forwarder.err = test.err
		_, err := f.runner.Query(context.Background(), "rate-desk", f.filingOf("node-b1"))
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
func TestOwnChecksAgain(t *testing.T) {
	forward := func(f *fixture, owner string) Forward {
		return Forward{Service: "rate-desk", Request: f.filingOf(owner), Remaining: time.Second}
	}
	f := settled(t)
	_, err := f.runner.Own(context.Background(), forward(f, "node-b1"))
	requireProblem(t, "not the owner", err, api.ProblemUnavailable)
	repeatable := forward(f, "node-a1")
	repeatable.Request.Class, repeatable.Request.Statement = "sweep", broadSelect
	_, err = f.runner.Own(context.Background(), repeatable)
	requireProblem(t, "repeatable here", err, api.ProblemUnavailable)
	if _, err := f.runner.Own(context.Background(), forward(f, "node-a1")); err != nil || f.scatterer.last.Timeout != time.Second {
		t.Errorf("own id: %v, with %s left", err, f.scatterer.last.Timeout)
	}
	f.catalogs.fresh = false
	_, err = f.runner.Own(context.Background(), forward(f, "node-a1"))
	requireProblem(t, "stale owner", err, api.ProblemUnavailable)
	if f.scatterer.calls != 1 {
		t.Errorf("%d runs", f.scatterer.calls)
	}
}

// TestStaleAfterTheDecision gives the id back: the decision does not count.
func TestStaleAfterTheDecision(t *testing.T) {
	f := settled(t)
	request := f.filing()
	f.catalogs.staleAfter = 2 // fresh when it arrives, stale after the decision
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireProblem(t, "stale", err, api.ProblemUnavailable)
	f.catalogs.fresh = true
	if _, err := f.runner.Query(context.Background(), "rate-desk", request); err != nil || f.scatterer.calls != 1 {
		t.Errorf("%v after %d runs", err, f.scatterer.calls)
	}
}

// TestOwnerThatIsCutOffFromTheVoters is fresh, by reading the store. Another
// process may have its slot and run the same id.
func TestOwnerThatIsCutOffFromTheVoters(t *testing.T) {
	f := settled(t)
	request := f.filing()
	f.cutOff = true
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireUnavailable(t, "cut off", err)
	if f.scatterer.calls != 0 {
		t.Error("it ran")
	}
	f.cutOff = false
	if _, err := f.runner.Query(context.Background(), "rate-desk", request); err != nil {
		t.Errorf("back in touch: %v", err)
	}
}

func TestNoVoters(t *testing.T) {
	f := newFixture(t)
	request := f.filing()
	f.catalogs.current.Voters = nil
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireProblem(t, "no voters", err, api.ProblemUnavailable)
}

func TestEveryReasonIsPutInWords(t *testing.T) {
	for _, reason := range []once.Reason{once.ReasonFenced, once.ReasonTooOld, once.ReasonFuture, once.ReasonFull, once.ReasonSuspended} {
		if refusalTexts[reason] == "" {
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
