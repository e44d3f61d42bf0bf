package api

import (
	"net/http"
	"strings"
	"testing"
)

func TestProblemDescriptionsAreUnique(t *testing.T) {
	seen := make(map[ProblemType]bool)
	for _, description := range ProblemDescriptions() {
		if seen[description.Type] {
			t.Errorf("%s is listed twice", description.Type)
		}
		seen[description.Type] = true
		if !strings.HasPrefix(string(description.Type), "urn:micaplank:problem:") {
			t.Errorf("%s is outside the namespace", description.Type)
		}
		if description.Title == "" || http.StatusText(description.Status) == "" || description.Status < 400 {
			t.Errorf("%s: got title %q and status %d, want a title and an error status", description.Type, description.Title, description.Status)
		}
	}
}

func TestNewProblemTakesTitleAndStatusFromItsType(t *testing.T) {
	problem := NewProblem(ProblemNotRunOverload, "predicted wait 90ms")
	if problem.Status != http.StatusTooManyRequests || problem.Title == "" {
		t.Errorf("got %+v, want status 429 and a title", problem)
	}
	if got := NewProblem("urn:example", "x").Type; got != ProblemInternal {
		t.Errorf("unpublished type: got %s, want %s", got, ProblemInternal)
	}
}
