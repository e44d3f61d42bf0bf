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

// TestProblemsOfRefusedChanges checks that a refused change is never reported
// as a part that cannot be reached: the operator would repeat it in vain.
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
		{"revision has moved", stop, &dissemination.ConflictError{Wanted: 3, Revision: 4}, api.ProblemConflict},
		{"wrapped", stop, fmt.Errorf("proposal: %w", &dissemination.ConflictError{Wanted: 3, Revision: 4}), api.ProblemConflict},
		{"voter that is no member", addVoter, errors.New("there is no alive member of that name"), api.ProblemUnknownNode},
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
			t.Errorf("%s: status %d asks for a repetition", testCase.name, problem.Status)
		}
	}
}

func TestChangeProblemAfterClose(t *testing.T) {
	if got := newChangeProblem(dissemination.ErrClosed).Type; got != api.ProblemUnavailable {
		t.Errorf("got %s", got)
	}
}

func TestResolveChangeID(t *testing.T) {
	current := catalog.Empty()
	current.Recent = []catalog.AppliedChange{{ID: "16-01JOTHER", Revision: 16}, {ID: "17-01JEXAMPLE", Revision: 17}}
	for given, want := range map[string]string{
		"01JEXAMPLE":    "17-01JEXAMPLE",
		"17-01JEXAMPLE": "17-01JEXAMPLE",
		"99-01JEXAMPLE": "99-01JEXAMPLE", // an id says of which revision it speaks
		"16-01JOTHER":   "16-01JOTHER",
	} {
		if got, problem := resolveChangeID(current, given); problem != nil || got != want {
			t.Errorf("%q: got %q, %v", given, got, problem)
		}
	}
	for _, given := range []string{"01JNONE", "EXAMPLE", "", "a/b", "17-"} {
		if got, problem := resolveChangeID(current, given); problem == nil || problem.Type != api.ProblemUnknownChange {
			t.Errorf("%q: got %q, %v", given, got, problem)
		}
	}
}
