package node

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/subset"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/settings"
)

// TestBudgetSharesStayWithinTheSlack adds up what all nodes may save.
func TestBudgetSharesStayWithinTheSlack(t *testing.T) {
	from := settings.Defaults().Forward
	for _, nodes := range []int{1, 2, 8, 12, 60, 300, 3900} {
		bounds := share{census: subset.Census{All: nodes}, part: 1, alone: true}.budget(from)
		spent := bounds.Capacity + bounds.Refill*from.ExtraWindow.Duration().Seconds()
		if all := spent * float64(nodes); all > from.ExtraSlack || all < from.ExtraSlack/2 {
			t.Errorf("%d nodes save up to %.1f of %.0f", nodes, all, from.ExtraSlack)
		}
		if bounds.Reserve <= 0 || bounds.Reserve >= bounds.Capacity || bounds.Initial > bounds.Capacity {
			t.Errorf("%d nodes: %+v", nodes, bounds)
		}
	}
	if bounds := (share{part: 1}).budget(from); bounds.Capacity > from.ExtraSlack {
		t.Errorf("no node is known: %+v", bounds)
	}
}

// TestExecutorsAndOthersShareTheSlack adds up what all nodes save, and have when
// all start at once.
func TestExecutorsAndOthersShareTheSlack(t *testing.T) {
	from := settings.Defaults().Forward
	from.ExtraSlack = 168
	var members []roster.Member
	for index := range 64 {
		member := roster.Member{Name: fmt.Sprint(index), Cores: 0.2}
		if index < 8 {
			member.Cores = 0.8
		}
		members = append(members, member)
	}
	for _, shard := range []bool{true, false} {
		saved := 0.0
		for _, member := range members {
			bounds := slackOf(executors.Assign(member, members), members, len(members), shard).budget(from)
			saved += bounds.Capacity + bounds.Refill*from.ExtraWindow.Duration().Seconds() + bounds.Initial
		}
		if saved > from.ExtraSlack+0.001 || saved < 0.9*from.ExtraSlack {
			t.Errorf("shard %v: %.1f of %.0f", shard, saved, from.ExtraSlack)
		}
	}
	executor := slackOf(executors.Assign(members[0], members), members, len(members), true).budget(from)
	if executor.Initial < 1+executor.Reserve {
		t.Errorf("an executor that starts has nothing for a hedge: %+v", executor)
	}
	if part := 8 * executor.Capacity; part < 0.8*slackShare*savedShare*from.ExtraSlack {
		t.Errorf("executors save up to %.1f of %.0f at a shard", part, from.ExtraSlack)
	}
	other := slackOf(executors.Assign(members[63], members), members, len(members), false).budget(from)
	if alone := slackOf(executors.Assign(members[0], members), members, len(members), false).budget(from); alone != other {
		t.Errorf("at a service that is no shard an executor saves %+v, another node %+v", alone, other)
	}
}

// TestLevelOfRequestLines: every request has its line, and those without an
// answer are urgent.
func TestLevelOfRequestLines(t *testing.T) {
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
	if lines := attemptLines(forward.Answer{Total: 100, Answered: 100, Attempts: many}); len(lines) != maxPlainAttemptLines {
		t.Errorf("%d lines of a request that lacks nothing", len(lines))
	}
}

func TestRouteLabelsAreBounded(t *testing.T) {
	labels := make(routeLabels)
	for number := range 2 * maxRouteLabels {
		name := fmt.Sprint("route-", number)
		want := name
		if number >= maxRouteLabels {
			want = otherRoutes
		}
		if got := labels.of(name); got != want {
			t.Errorf("%s: %s", name, got)
		}
	}
	if labels.of("route-0") != "route-0" {
		t.Error("a label is not kept")
	}
}

// TestProbesOfAllNodesTogetherAreBounded: what many nodes spend on probes of one
// slow leaf would else eat the budget of its shard.
func TestProbesOfAllNodesTogetherAreBounded(t *testing.T) {
	for _, test := range []struct {
		nodes int
		want  time.Duration
	}{{1, minProbeInterval}, {6, minProbeInterval}, {18, 18 * probeSpacing}, {300, maxProbeInterval}} {
		if got := (share{census: subset.Census{All: test.nodes}}).probeInterval(); got != test.want {
			t.Errorf("%d nodes probe each %v, want %v", test.nodes, got, test.want)
		}
	}
}
