package frontend

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/forward"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/settings"
)

// TestBudgetSharesStayWithinTheSlack adds up what all nodes may save, with what
// some that start have at once.
func TestBudgetSharesStayWithinTheSlack(t *testing.T) {
	from := settings.Defaults().Forward
	for _, nodes := range []int{1, 2, 8, 12, 60, 300, 3900} {
		capacity, reserve := budgetShare(from, nodes)
		if all := capacity * float64(nodes); all > from.ExtraSlack || all < from.ExtraSlack/2 {
			t.Errorf("%d nodes save up to %.1f of %.0f", nodes, all, from.ExtraSlack)
		}
		if reserve <= 0 || reserve >= capacity {
			t.Errorf("%d nodes: reserve %.3f of %.3f", nodes, reserve, capacity)
		}
	}
	if capacity, _ := budgetShare(from, 0); capacity > from.ExtraSlack {
		t.Errorf("no node is known: %.1f", capacity)
	}
}

func TestLevelOfRequestLines(t *testing.T) {
	for _, test := range []struct {
		answer forward.Answer
		want   slog.Level
	}{
		{forward.Answer{Fate: forward.FateMerged}, slog.LevelDebug},
		{forward.Answer{Fate: forward.FateMerged, Missing: 1}, slog.LevelInfo},
		{forward.Answer{Fate: forward.FateAnswered, Part: forward.Part{Status: 404}}, slog.LevelDebug},
		{forward.Answer{Fate: forward.FateAnswered, Part: forward.Part{Status: 504}}, slog.LevelInfo},
		{forward.Answer{Fate: forward.FateNotRun}, slog.LevelWarn},
		{forward.Answer{Fate: forward.FateLate}, slog.LevelWarn},
		{forward.Answer{Fate: forward.FateFailed}, slog.LevelWarn},
	} {
		if got := levelOf(test.answer); got != test.want {
			t.Errorf("%+v: %v", test.answer, got)
		}
	}
}

// TestLinesTellTheAttemptsThatMatter leaves out the plain attempts of a request
// to many shards, and bounds the rest.
func TestLinesTellTheAttemptsThatMatter(t *testing.T) {
	plain := scatter.AttemptTrace{Send: dispatch.Send{Cause: dispatch.CauseNeeded, Leaf: netip.MustParseAddrPort("10.0.0.1:80")}, End: scatter.EndAnswered}
	late := plain
	late.End, late.At, late.Basis.Slowness = scatter.EndOpen, 54*time.Millisecond, 1.23456
	hedge := plain
	hedge.Extra, hedge.Cause = true, dispatch.CauseHedge
	lines := attemptLines(forward.Answer{Total: 3, Attempts: []scatter.AttemptTrace{plain, late, hedge}})
	if len(lines) != 2 || lines[0].End != "open" || lines[0].AtMS != 54 || lines[0].Slowness != 1.23 || lines[1].Cause != "hedge" {
		t.Errorf("%+v", lines)
	}
	if lines := attemptLines(forward.Answer{Total: 1, Attempts: []scatter.AttemptTrace{plain}}); len(lines) != 1 {
		t.Errorf("of a request to one leaf: %+v", lines)
	}
	many := make([]scatter.AttemptTrace, 100)
	for index := range many {
		many[index] = late
	}
	if lines := attemptLines(forward.Answer{Total: 100, Attempts: many}); len(lines) != maxAttemptLines {
		t.Errorf("%d lines", len(lines))
	}
}
