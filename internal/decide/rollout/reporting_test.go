package rollout

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/roster"
)

// TestChooseSkipsAvoidedCandidates checks that a report goes to the first candidate that is not
// avoided, and to the first of all if each is avoided.
func TestChooseSkipsAvoidedCandidates(t *testing.T) {
	candidates := []roster.Member{{Name: "a"}, {Name: "b"}}
	reporting := NewDeciderSelector()
	for _, test := range []struct {
		at    time.Duration
		avoid string
		want  string
	}{
		{0, "a", "b"},
		{time.Second, "b", "a"}, // both are avoided
		{AvoidTime, "", "a"},
		{AvoidTime, "a", "a"}, // b is avoided for another second
		{AvoidTime + time.Second, "", "b"},
	} {
		if test.avoid != "" {
			reporting.Avoid(test.at, test.avoid)
		}
		if got := reporting.Choose(test.at, candidates).Name; got != test.want {
			t.Errorf("at %s after avoiding %q: report to %s, want %s", test.at, test.avoid, got, test.want)
		}
	}
}

// TestRestartedDeciderReceivesEverything checks that the next report is complete after a decider
// has answered under another incarnation.
func TestRestartedDeciderReceivesEverything(t *testing.T) {
	subject := Subject{Service: "s", Order: 1}
	reporting := NewDeciderSelector()
	reporting.RecordReply("first", Report{Rows: []Row{{Subject: subject}}})
	if len(reporting.AcknowledgedCounts()) != 1 || reporting.Decider() != "first" {
		t.Fatalf("decider %q received %v, want 1 row at %q", reporting.Decider(), reporting.AcknowledgedCounts(), "first")
	}
	reporting.RecordReply("second", Report{Decider: "first"})
	if len(reporting.AcknowledgedCounts()) != 0 || reporting.Decider() != "" {
		t.Errorf("decider %q received %v, want nothing after a restart", reporting.Decider(), reporting.AcknowledgedCounts())
	}
}

// TestParticipationInSlackAndReports checks that a participant spends a part of the slack unless it
// found the order at its start, and that a node without known participants reports but spends
// nothing.
func TestParticipationInSlackAndReports(t *testing.T) {
	members := []roster.Member{{Name: "a"}, {Name: "b"}}
	if !MaySpend("a", members) || MaySpend("c", members) || MaySpend("a", nil) {
		t.Error("HasAllowance: want true for a participant only")
	}
	if !MustReport("a", members) || MustReport("c", members) || !MustReport("a", nil) {
		t.Error("Reports: want true for a participant and for a node without participants only")
	}
	if share := SlackShare(4, false); share != 0.25 {
		t.Errorf("slack share %v for one of 4 participants, want 0.25", share)
	}
	if share := SlackShare(4, true); share != 0 {
		t.Errorf("slack share %v for a node that found the order at its start, want 0", share)
	}
}
