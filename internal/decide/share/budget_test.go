package share

import (
	"fmt"
	"testing"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/subset"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/settings"
)

// extraOf returns the extra load that some settings allow.
func extraLoad(from settings.Settings) Extra {
	return Extra{Attempts: from.Forward.ExtraSlack, Window: from.Forward.ExtraWindow.Duration()}
}

// TestBudgetSharesStayWithinTheSlack adds up what all nodes may save.
func TestNodeBudgetsStayWithinExtraLoad(t *testing.T) {
	allowed := extraLoad(settings.Defaults())
	for _, nodes := range []int{1, 2, 8, 12, 60, 300, 3900} {
		bounds := Share{nodeCounts: subset.NodeCounts{Total: nodes}, fraction: 1, standalone: true}.Budget(allowed)
		spent := bounds.Capacity + bounds.Refill*allowed.Window.Seconds()
		if all := spent * float64(nodes); all > allowed.Attempts || all < allowed.Attempts/2 {
			t.Errorf("%d nodes save up to %.1f of %.0f", nodes, all, allowed.Attempts)
		}
		if bounds.Reserve <= 0 || bounds.Reserve >= bounds.Capacity || bounds.Initial > bounds.Capacity {
			t.Errorf("%d nodes: %+v", nodes, bounds)
		}
	}
	if bounds := (Share{fraction: 1}).Budget(allowed); bounds.Capacity > allowed.Attempts {
		t.Errorf("no node is known: %+v", bounds)
	}
}

// TestExecutorsAndOthersShareTheSlack adds up what all nodes save, and have when
// all start at once.
func TestExecutorsAndOthersShareExtraLoad(t *testing.T) {
	allowed := extraLoad(settings.Defaults())
	allowed.Attempts = 168
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
			bounds := OfSlack(executors.Assign(member, members), members, len(members), shard).Budget(allowed)
			saved += bounds.Capacity + bounds.Refill*allowed.Window.Seconds() + bounds.Initial
		}
		if saved > allowed.Attempts+0.001 || saved < 0.9*allowed.Attempts {
			t.Errorf("shard %v: %.1f of %.0f", shard, saved, allowed.Attempts)
		}
	}
	executor := OfSlack(executors.Assign(members[0], members), members, len(members), true).Budget(allowed)
	if executor.Initial < 1+executor.Reserve {
		t.Errorf("an executor that starts has nothing for a hedge: %+v", executor)
	}
	if total := 8 * executor.Capacity; total < 0.8*steadyShare*burstShare*allowed.Attempts {
		t.Errorf("executors save up to %.1f of %.0f at a shard", total, allowed.Attempts)
	}
	other := OfSlack(executors.Assign(members[63], members), members, len(members), false).Budget(allowed)
	if alone := OfSlack(executors.Assign(members[0], members), members, len(members), false).Budget(allowed); alone != other {
		t.Errorf("at a service that is no shard an executor saves %+v, another node %+v", alone, other)
	}
}
