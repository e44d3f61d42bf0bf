package executors

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/roster"
)

// equals returns nodes of one size in some zones.
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
		t.Errorf("roles %v, executors by zone %v", byRole, zones)
	}
	for _, assigner := range []Assigner{{}, {EqualNodes: 77}} {
		if roles := assigner.Assign(members[0], members); roles.Self != RoleStandalone || len(roles.Executors) > 0 {
			t.Errorf("%+v: %+v", assigner, roles)
		}
	}
	small := newEqualNodes(76, 4)
	for index := range small {
		small[index].Cores = 0.192
	}
	assigner := Assigner{EqualNodes: 24}
	if roles := assigner.Assign(small[0], small); roles.Self != RoleStandalone {
		t.Errorf("small nodes: %+v", roles)
	}
	withLarge := append(newEqualNodes(76, 4), newMember("large", "zone-0", 1.6))
	mixed := Assigner{EqualNodes: 24}
	if roles := mixed.Assign(withLarge[0], withLarge); len(roles.Executors) != 1 || roles.Executors[0].Name != "large" {
		t.Errorf("beside a large node: %+v", roles)
	}
}

// TestFleetKeepsItsExecutors while a few nodes come and go.
func TestExecutorAssignmentHasHysteresis(t *testing.T) {
	members := newEqualNodes(30, 3)
	assigner := Assigner{EqualNodes: 24}
	for _, test := range []struct {
		nodes  int
		chosen bool
	}{{23, false}, {24, true}, {20, true}, {18, true}, {17, false}, {20, false}, {24, true}} {
		roles := assigner.Assign(members[0], members[:test.nodes])
		if chosen := len(roles.Executors) > 0; chosen != test.chosen {
			t.Errorf("%d nodes: executors %v", test.nodes, roles.Executors)
		}
	}
}

// TestLossOfAnEqualChangesOnlyItsPlace: the next of its zone follows it, and all
// others keep their roles.
func TestLossOfEqualNodeReplacesOnlyThatExecutor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newEqualNodes(rapid.IntRange(24, 300).Draw(t, "nodes"), rapid.IntRange(1, 13).Draw(t, "zones"))
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		remaining := slices.Delete(slices.Clone(members), lost, lost+1)
		before, after := roster.FirstOfZones(members, executorsPerZone), roster.FirstOfZones(remaining, executorsPerZone)
		if !slices.Contains(before, members[lost]) {
			if !slices.Equal(before, after) {
				t.Fatalf("from %v to %v", before, after)
			}
			return
		}
		for _, executor := range before {
			if executor != members[lost] && !slices.Contains(after, executor) {
				t.Fatalf("%s is lost, and %s runs no requests of others any more", members[lost].Name, executor.Name)
			}
		}
	})
}
