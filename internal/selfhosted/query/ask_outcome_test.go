package query

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// newRunningProblem returns the problem of an owner that still runs the request.
func newRunningProblem() *api.Problem {
	problem := api.NewProblem(api.ProblemOutcomeUnknown, "running")
	problem.Outcome = dispatch.OutcomeUnknown
	problem.RetryAfterMilliseconds = inProgressRetryAfter.Milliseconds()
	return problem
}

// TestLostResponseIsAskedFor guards against an unknown outcome that the owner of the id knows: the
// connection to it is lost while it runs the request.
func TestLostResponseIsAskedFor(t *testing.T) {
	answer := &api.QueryResponse{RequestID: validID}
	for _, test := range []struct {
		name    string
		replies []error // the last one is repeated; nil for the answer
		want    api.ProblemType
		asks    int
	}{
		{name: "ended", replies: []error{nil}, asks: 1},
		{name: "running, then ended", replies: []error{newRunningProblem(), newRunningProblem(), nil}, asks: 3},
		{name: "response lost again", replies: []error{errors.New("reset"), nil}, asks: 2},
		{name: "not begun", replies: []error{api.NewProblem(api.ProblemNotRunDeadline, "")}, want: api.ProblemNotRunDeadline, asks: 1},
		{name: "recorded as unknown", replies: []error{api.NewProblem(api.ProblemOutcomeUnknown, "")}, want: api.ProblemOutcomeUnknown, asks: 1},
		{name: "owner replaced", replies: []error{api.NewProblem(api.ProblemUnavailable, "")}, want: api.ProblemOutcomeUnknown, asks: 1},
		{name: "owner gone", replies: []error{errors.New("refused")}, want: api.ProblemOutcomeUnknown, asks: maxFailedAsks},
	} {
		f := newFixturePastFence(t)
		f.forwarder.err = &ForwardError{Node: "node-b1", Sent: true, Err: errors.New("reset")}
		f.forwarder.onAsk = func(ask int) (*api.QueryResponse, error) {
			if err := test.replies[min(ask, len(test.replies))-1]; err != nil {
				return nil, err
			}
			return answer, nil
		}
		response, err := f.runner.Query(context.Background(), "rate-desk", f.newInsertFor("node-b1"))
		if test.want != "" {
			requireProblem(t, test.name, err, test.want)
		} else if response != answer {
			t.Errorf("%s: got %v and error %v, want the answer", test.name, response, err)
		}
		if f.forwarder.calls != 1 || f.forwarder.asks != test.asks {
			t.Errorf("%s: got %d forwards and %d questions, want 1 and %d", test.name, f.forwarder.calls, f.forwarder.asks, test.asks)
		}
	}
}

// TestOwnerTellsForwardedOutcome checks what the owner of an id says of a request that ended, and of
// one that it did not begin. It must not run the latter afterwards, since it has told that it never
// will.
func TestOwnerTellsForwardedOutcome(t *testing.T) {
	f := newFixturePastFence(t)
	ended := ForwardedQuery{Service: "rate-desk", Request: f.newInsertFor("node-a1"), Remaining: time.Second}
	want, err := f.runner.RunForwarded(context.Background(), ended)
	if err != nil {
		t.Fatal(err)
	}
	if response, err := f.runner.ForwardedOutcome(ended); err != nil || response != want {
		t.Errorf("ended: got %v and error %v, want %v", response, err, want)
	}
	late := ForwardedQuery{Service: "rate-desk", Request: f.newInsertFor("node-a1"), Remaining: time.Second}
	_, err = f.runner.ForwardedOutcome(late)
	if problem := requireProblem(t, "not begun", err, api.ProblemNotRunDeadline); problem.Outcome != dispatch.OutcomeNotRun {
		t.Errorf("not begun: got outcome %s, want %s", problem.Outcome, dispatch.OutcomeNotRun)
	}
	_, err = f.runner.RunForwarded(context.Background(), late)
	requireProblem(t, "late arrival", err, api.ProblemNotRunDeadline)
	if f.scatterer.executions != 1 {
		t.Errorf("got %d executions, want 1", f.scatterer.executions)
	}
}

// TestOwnerTellsThatRequestRuns checks that the owner tells a running request from one whose unknown
// outcome is recorded.
func TestOwnerTellsThatRequestRuns(t *testing.T) {
	f := newFixturePastFence(t)
	forward := ForwardedQuery{Service: "rate-desk", Request: f.newInsertFor("node-a1"), Remaining: time.Second}
	f.scatterer.result.Outcome = dispatch.OutcomeUnknown
	f.scatterer.onExecute = func(context.Context) {
		_, err := f.runner.ForwardedOutcome(forward)
		if problem := requireProblem(t, "running", err, api.ProblemOutcomeUnknown); !isInProgress(problem) {
			t.Errorf("running: got %+v, want one in progress", problem)
		}
	}
	_, err := f.runner.RunForwarded(context.Background(), forward)
	requireProblem(t, "lost at the leaf", err, api.ProblemOutcomeUnknown)
	_, err = f.runner.ForwardedOutcome(forward)
	if problem := requireProblem(t, "recorded", err, api.ProblemOutcomeUnknown); isInProgress(problem) {
		t.Errorf("recorded: got %+v, want one that is not in progress", problem)
	}
}

// TestOwnerDoesNotGuessForwardedOutcome checks that an owner that cannot tell an outcome says so. A
// refusal would be passed on to the caller as the outcome of a request that may have run.
func TestOwnerDoesNotGuessForwardedOutcome(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"stale":            func(f *fixture) { f.catalogs.fresh = false },
		"without majority": func(f *fixture) { f.withoutMajority = true },
		"service removed":  func(f *fixture) { delete(f.catalogs.current.Services, "rate-desk") },
		"id in the future": func(f *fixture) { f.timeOfDay = f.timeOfDay.Add(-30 * time.Second) },
		"id too old":       func(f *fixture) { f.advance(time.Hour) },
	} {
		f := newFixturePastFence(t)
		forward := ForwardedQuery{Service: "rate-desk", Request: f.newInsertFor("node-a1"), Remaining: time.Second}
		change(f)
		_, err := f.runner.ForwardedOutcome(forward)
		requireUnavailable(t, name, err)
	}
}
