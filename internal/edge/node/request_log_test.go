package node

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/scatter"
)

// TestRequestLogLevel checks that requests without an answer are logged as warnings, and all others
// at level info.
func TestRequestLogLevel(t *testing.T) {
	for _, test := range []struct {
		answer forward.Answer
		want   slog.Level
	}{
		{forward.Answer{Fate: forward.FateMerged}, slog.LevelInfo},
		{forward.Answer{Fate: forward.FateMerged, Missing: 1}, slog.LevelInfo},
		{forward.Answer{Fate: forward.FateAnswered, Part: forward.Part{Status: 404}}, slog.LevelInfo},
		{forward.Answer{Fate: forward.FateAnswered, Part: forward.Part{Status: 504}}, slog.LevelInfo},
		{forward.Answer{Fate: forward.FateNotRun}, slog.LevelWarn},
		{forward.Answer{Fate: forward.FateLate}, slog.LevelWarn},
		{forward.Answer{Fate: forward.FateFailed}, slog.LevelWarn},
		{forward.Answer{Fate: forward.FateNoRoute}, slog.LevelWarn},
	} {
		if got := requestLogLevel(test.answer); got != test.want {
			t.Errorf("level of %+v: got %v, want %v", test.answer, got, test.want)
		}
	}
}

// TestLoggedAttemptsAreSelectedAndBounded checks that the line of a request to many shards leaves
// out the attempts that were simply answered, and that the number of attempts in a line is bounded.
func TestLoggedAttemptsAreSelectedAndBounded(t *testing.T) {
	plain := scatter.AttemptTrace{Send: dispatch.Send{Cause: dispatch.CauseNeeded, Leaf: netip.MustParseAddrPort("10.0.0.1:80")}, End: scatter.EndAnswered}
	unanswered := plain
	unanswered.End, unanswered.SentAfter, unanswered.Basis.Slowness = scatter.EndOpen, 54*time.Millisecond, 1.23456
	hedge := plain
	hedge.Extra, hedge.Cause = true, dispatch.CauseHedge
	misplaced := plain
	misplaced.Connection = leaf.ConnectionUse{LocalPort: 4711, Request: 9, Skipped: 1}
	if logged := loggedAttempts(forward.Answer{Total: 3, Attempts: []scatter.AttemptTrace{plain, misplaced}}); len(logged) != 1 || logged[0].ConnPort != 4711 || logged[0].ConnSent != 9 || logged[0].Skipped != 1 {
		t.Errorf("attempts of 3 shards: got %+v, want the one that met another response, with its connection", logged)
	}
	logged := loggedAttempts(forward.Answer{Total: 3, Attempts: []scatter.AttemptTrace{plain, unanswered, hedge}})
	if len(logged) != 2 || logged[0].End != "open" || logged[0].AtMS != 54 || logged[0].Slowness != 1.23 || logged[1].Cause != "hedge" {
		t.Errorf("attempts of 3 shards: got %+v, want the open one and the hedge", logged)
	}
	if logged := loggedAttempts(forward.Answer{Total: 1, Attempts: []scatter.AttemptTrace{plain}}); len(logged) != 1 {
		t.Errorf("attempts of a request to one leaf: got %+v, want 1", logged)
	}
	many := make([]scatter.AttemptTrace, 100)
	for index := range many {
		many[index] = unanswered
	}
	if logged := loggedAttempts(forward.Answer{Total: 100, Attempts: many}); len(logged) != maxLoggedAttempts {
		t.Errorf("incomplete answer: got %d attempts, want %d", len(logged), maxLoggedAttempts)
	}
	if logged := loggedAttempts(forward.Answer{Total: 100, Answered: 100, Attempts: many}); len(logged) != maxLoggedAttemptsIfComplete {
		t.Errorf("complete answer: got %d attempts, want %d", len(logged), maxLoggedAttemptsIfComplete)
	}
}
