package share

import (
	"fmt"
	"testing"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/subset"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/settings"
)

// extraLoad returns the extra load that the settings allow.
func extraLoad(from settings.Settings) ExtraLoad {
	return ExtraLoad{Attempts: from.Forward.ExtraSlack, Window: from.Forward.ExtraWindow.Duration()}
}

// TestNodeBudgetsStayWithinExtraLoad sums up the budgets of all nodes.
func TestNodeBudgetsStayWithinExtraLoad(t *testing.T) {
	allowed := extraLoad(settings.Defaults())
	for _, nodes := range []int{1, 2, 8, 12, 60, 300, 3900} {
		bounds := Share{nodeCounts: subset.NodeCounts{Total: nodes}, fraction: 1, standalone: true}.Budget(allowed)
		spent := bounds.Capacity + bounds.RefillRate*allowed.Window.Seconds()
		if total := spent * float64(nodes); total > allowed.Attempts || total < allowed.Attempts/2 {
			t.Errorf("%d nodes may spend %.1f attempts per window, want %.1f to %.0f", nodes, total, allowed.Attempts/2, allowed.Attempts)
		}
		if bounds.Reserve <= 0 || bounds.Reserve >= bounds.Capacity || bounds.Initial > bounds.Capacity {
			t.Errorf("%d nodes: reserve or initial tokens do not fit the capacity: %+v", nodes, bounds)
		}
	}
	if bounds := (Share{fraction: 1}).Budget(allowed); bounds.Capacity > allowed.Attempts {
		t.Errorf("no node is announced: got capacity %.1f, want at most %.0f", bounds.Capacity, allowed.Attempts)
	}
}

// TestExecutorsAndOthersShareExtraLoad sums up the budgets of all nodes, including their initial
// tokens when all of them start at once.
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
			bounds := ForExtraLoad(executors.Assign(member, members), members, len(members), shard).Budget(allowed)
			saved += bounds.Capacity + bounds.RefillRate*allowed.Window.Seconds() + bounds.Initial
		}
		if saved > allowed.Attempts+0.001 || saved < 0.9*allowed.Attempts {
			t.Errorf("shard %v: all nodes may spend %.1f attempts, want %.1f to %.0f", shard, saved, 0.9*allowed.Attempts, allowed.Attempts)
		}
	}
	executor := ForExtraLoad(executors.Assign(members[0], members), members, len(members), true).Budget(allowed)
	if executor.Initial < 1+executor.Reserve {
		t.Errorf("an executor that starts cannot send a hedge: %+v", executor)
	}
	if total := 8 * executor.Capacity; total < 0.8*steadyShare*burstShare*allowed.Attempts {
		t.Errorf("executors save up to %.1f of %.0f attempts at a shard", total, allowed.Attempts)
	}
	otherBudget := ForExtraLoad(executors.Assign(members[63], members), members, len(members), false).Budget(allowed)
	if executorBudget := ForExtraLoad(executors.Assign(members[0], members), members, len(members), false).Budget(allowed); executorBudget != otherBudget {
		t.Errorf("at a service that is not a shard, an executor gets %+v and another node %+v, want the same", executorBudget, otherBudget)
	}
}
