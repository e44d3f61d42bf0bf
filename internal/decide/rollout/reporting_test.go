package rollout

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/roster"
)

// TestReportsGoToTheFirstThatAnswers, and to the first of all where none does.
func TestReportsGoToTheFirstThatAnswers(t *testing.T) {
	candidates := []roster.Member{{Name: "a"}, {Name: "b"}}
	reports := NewReporting()
	for _, test := range []struct {
		at    time.Duration
		avoid string
		want  string
	}{
		{0, "a", "b"},
		{time.Second, "b", "a"}, // both are avoided
		{AvoidTime, "", "a"},
		{AvoidTime, "a", "a"}, // b is avoided for a second yet
		{AvoidTime + time.Second, "", "b"},
	} {
		if test.avoid != "" {
			reports.Avoid(test.at, test.avoid)
		}
		if got := reports.Choose(test.at, candidates).Name; got != test.want {
			t.Errorf("at %s, %q just avoided: report to %s, want %s", test.at, test.avoid, got, test.want)
		}
	}
}

// TestRestartedDeciderReceivesEverything, since it answers under another incarnation.
func TestRestartedDeciderReceivesEverything(t *testing.T) {
	subject := Subject{Service: "s", Order: 1}
	reports := NewReporting()
	reports.Answered("first", Report{Rows: []Row{{Subject: subject}}})
	if len(reports.Received()) != 1 || reports.Decider() != "first" {
		t.Fatalf("%q has received %v", reports.Decider(), reports.Received())
	}
	reports.Answered("second", Report{Decider: "first"})
	if len(reports.Received()) != 0 || reports.Decider() != "" {
		t.Errorf("%q has received %v", reports.Decider(), reports.Received())
	}
}

// TestWhoSpendsTheSlack: a participant, unless it found the order when it started, and no
// node that knows of no other.
func TestWhoSpendsTheSlack(t *testing.T) {
	members := []roster.Member{{Name: "a"}, {Name: "b"}}
	if !HasAllowance("a", members) || HasAllowance("c", members) || HasAllowance("a", nil) {
		t.Error("an allowance for the wrong nodes")
	}
	if !Reports("a", members) || Reports("c", members) || !Reports("a", nil) {
		t.Error("reports of the wrong nodes")
	}
	if part := PartOfSlack(4, false); part != 0.25 {
		t.Errorf("one of 4 has %v of the slack", part)
	}
	if part := PartOfSlack(4, true); part != 0 {
		t.Errorf("one that found the order has %v of the slack", part)
	}
}
