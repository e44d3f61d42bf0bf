package executors

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/roster"
)

// newEqualNodes returns nodes of equal size, spread over zones.
func newEqualNodes(count, zones int) []roster.Member {
	members := make([]roster.Member, count)
	for index := range members {
		members[index] = newMember(fmt.Sprintf("node-%d", index), fmt.Sprintf("zone-%d", index%zones), 0.8)
	}
	return members
}

func TestEqualNodesAssignExecutorsInEachZone(t *testing.T) {
	members := newEqualNodes(76, 4)
	byRole := make(map[Role]int)
	zones := make(map[string]int)
	for _, self := range members {
		assigner := Assigner{EqualNodes: 24}
		roles := assigner.Assign(self, members)
		byRole[roles.Self]++
		if roles.Self == RoleExecutor {
			zones[self.Zone]++
		}
	}
	if byRole[RoleExecutor] != 8 || byRole[RoleDelegator] != 68 || len(zones) != 4 {
		t.Errorf("got roles %v and executors by zone %v, want 8 executors in 4 zones and 68 delegators", byRole, zones)
	}
	for _, assigner := range []Assigner{{}, {EqualNodes: 77}} {
		if roles := assigner.Assign(members[0], members); roles.Self != RoleStandalone || len(roles.Executors) > 0 {
			t.Errorf("%+v: got roles %+v, want no executors", assigner, roles)
		}
	}
	small := newEqualNodes(76, 4)
	for index := range small {
		small[index].Cores = 0.192
	}
	assigner := Assigner{EqualNodes: 24}
	if roles := assigner.Assign(small[0], small); roles.Self != RoleStandalone {
		t.Errorf("nodes with few cores: got roles %+v, want no executors", roles)
	}
	withLarge := append(newEqualNodes(76, 4), newMember("large", "zone-0", 1.6))
	mixed := Assigner{EqualNodes: 24}
	if roles := mixed.Assign(withLarge[0], withLarge); len(roles.Executors) != 1 || roles.Executors[0].Name != "large" {
		t.Errorf("equal nodes and a large one: got roles %+v, want the large node as the only executor", roles)
	}
}

// TestExecutorAssignmentHasHysteresis has a few nodes join and leave.
func TestExecutorAssignmentHasHysteresis(t *testing.T) {
	members := newEqualNodes(30, 3)
	assigner := Assigner{EqualNodes: 24}
	for _, test := range []struct {
		nodes  int
		chosen bool
	}{{23, false}, {24, true}, {20, true}, {18, true}, {17, false}, {20, false}, {24, true}} {
		roles := assigner.Assign(members[0], members[:test.nodes])
		if chosen := len(roles.Executors) > 0; chosen != test.chosen {
			t.Errorf("%d nodes: got executors %v, want any = %v", test.nodes, roles.Executors, test.chosen)
		}
	}
}

// TestLossOfEqualNodeReplacesOnlyThatExecutor: the next node of its zone replaces the lost
// executor, and all other nodes keep their roles.
func TestLossOfEqualNodeReplacesOnlyThatExecutor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newEqualNodes(rapid.IntRange(24, 300).Draw(t, "nodes"), rapid.IntRange(1, 13).Draw(t, "zones"))
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		remaining := slices.Delete(slices.Clone(members), lost, lost+1)
		before, after := roster.SelectPerZone(members, executorsPerZone), roster.SelectPerZone(remaining, executorsPerZone)
		if !slices.Contains(before, members[lost]) {
			if !slices.Equal(before, after) {
				t.Fatalf("the loss of %s, which is no executor, changed the executors from %v to %v", members[lost].Name, before, after)
			}
			return
		}
		for _, executor := range before {
			if executor != members[lost] && !slices.Contains(after, executor) {
				t.Fatalf("after the loss of %s, %s is no longer an executor", members[lost].Name, executor.Name)
			}
		}
	})
}
