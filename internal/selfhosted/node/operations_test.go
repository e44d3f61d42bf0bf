package node

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/dissemination"
)

// TestRefusalProblemTypes checks that a refused change is never reported as an unavailable part:
// the operator would retry a change that cannot succeed.
func TestRefusalProblemTypes(t *testing.T) {
	addVoter := catalog.Command{AddVoter: &catalog.AddVoter{Voter: catalog.Voter{Name: "node-x1", Zone: "x"}}}
	removeVoter := catalog.Command{RemoveVoter: &catalog.RemoveVoter{Name: "node-a1"}}
	stop := catalog.Command{StopService: &catalog.StopService{Name: "rate-desk"}}
	_, unknownService := catalog.Apply(catalog.Empty(), catalog.Change{Revision: 1, ID: "1-x", Command: stop})
	cases := []struct {
		name    string
		command catalog.Command
		refusal error
		want    api.ProblemType
	}{
		{"revision has changed", stop, &dissemination.ConflictError{Expected: 3, Revision: 4}, api.ProblemConflict},
		{"revision has changed, wrapped", stop, fmt.Errorf("proposal: %w", &dissemination.ConflictError{Expected: 3, Revision: 4}), api.ProblemConflict},
		{"voter is not a member", addVoter, errors.New("there is no alive member of that name"), api.ProblemUnknownNode},
		{"too few voters", removeVoter, errors.New("3 voters must be left"), api.ProblemInvalidChange},
		{"unknown service", stop, unknownService, api.ProblemUnknownService},
		{"in use", stop, &catalog.Error{Code: catalog.CodeInUse, Message: "in use"}, api.ProblemConflict},
		{"unchanged", stop, &catalog.Error{Code: catalog.CodeUnchanged, Message: "it is so"}, api.ProblemConflict},
	}
	for _, testCase := range cases {
		problem := newRefusalProblem(testCase.refusal, testCase.command)
		if problem.Type != testCase.want || problem.Detail != testCase.refusal.Error() {
			t.Errorf("%s: got %s (%s), want %s", testCase.name, problem.Type, problem.Detail, testCase.want)
		}
		if problem.Status >= http.StatusInternalServerError {
			t.Errorf("%s: got status %d, which asks for a retry, want a status below 500", testCase.name, problem.Status)
		}
	}
}

// TestChangeProblemAfterClose checks that a change on a closed node is reported as unavailable.
func TestChangeProblemAfterClose(t *testing.T) {
	if got := newChangeProblem(dissemination.ErrClosed).Type; got != api.ProblemUnavailable {
		t.Errorf("got %s, want %s", got, api.ProblemUnavailable)
	}
}

// TestResolveChangeID checks that tokens of recent changes resolve to ids, that ids resolve to
// themselves, and that all other texts are unknown changes.
func TestResolveChangeID(t *testing.T) {
	current := catalog.Empty()
	current.Recent = []catalog.AppliedChange{{ID: "16-01JOTHER", Revision: 16}, {ID: "17-01JEXAMPLE", Revision: 17}}
	for given, want := range map[string]string{
		"01JEXAMPLE":    "17-01JEXAMPLE",
		"17-01JEXAMPLE": "17-01JEXAMPLE",
		"99-01JEXAMPLE": "99-01JEXAMPLE", // an id contains its revision and is not looked up
		"16-01JOTHER":   "16-01JOTHER",
	} {
		if got, problem := resolveChangeID(current, given); problem != nil || got != want {
			t.Errorf("%q: got %q and problem %v, want %q", given, got, problem, want)
		}
	}
	for _, given := range []string{"01JNONE", "EXAMPLE", "", "a/b", "17-"} {
		if got, problem := resolveChangeID(current, given); problem == nil || problem.Type != api.ProblemUnknownChange {
			t.Errorf("%q: got %q and problem %v, want %s", given, got, problem, api.ProblemUnknownChange)
		}
	}
}
