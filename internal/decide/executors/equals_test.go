package executors

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/roster"
)

// equals returns nodes of one size in some zones.
func equals(count, zones int) []roster.Member {
	members := make([]roster.Member, count)
	for index := range members {
		members[index] = node(fmt.Sprintf("node-%d", index), fmt.Sprintf("zone-%d", index%zones), 0.8)
	}
	return members
}

func TestEqualsChooseSomeOfEachZone(t *testing.T) {
	members := equals(76, 4)
	byRole := make(map[Role]int)
	zones := make(map[string]int)
	for _, self := range members {
		fleet := Assigner{EqualNodes: 24}
		roles := fleet.Assign(self, members)
		byRole[roles.Self]++
		if roles.Self == RoleExecutor {
			zones[self.Zone]++
		}
	}
	if byRole[RoleExecutor] != 8 || byRole[RoleDelegator] != 68 || len(zones) != 4 {
		t.Errorf("roles %v, executors by zone %v", byRole, zones)
	}
	for _, fleet := range []Assigner{{}, {EqualNodes: 77}} {
		if roles := fleet.Assign(members[0], members); roles.Self != RoleAlone || len(roles.Executors) > 0 {
			t.Errorf("%+v: %+v", fleet, roles)
		}
	}
	small := equals(76, 4)
	for index := range small {
		small[index].Cores = 0.192
	}
	slow := Assigner{EqualNodes: 24}
	if roles := slow.Assign(small[0], small); roles.Self != RoleAlone {
		t.Errorf("small nodes: %+v", roles)
	}
	sizes := append(equals(76, 4), node("large", "zone-0", 1.6))
	fleet := Assigner{EqualNodes: 24}
	if roles := fleet.Assign(sizes[0], sizes); len(roles.Executors) != 1 || roles.Executors[0].Name != "large" {
		t.Errorf("beside a large node: %+v", roles)
	}
}

// TestFleetKeepsItsExecutors while a few nodes come and go.
func TestFleetKeepsItsExecutors(t *testing.T) {
	members := equals(30, 3)
	fleet := Assigner{EqualNodes: 24}
	for _, test := range []struct {
		nodes  int
		chosen bool
	}{{23, false}, {24, true}, {20, true}, {18, true}, {17, false}, {20, false}, {24, true}} {
		roles := fleet.Assign(members[0], members[:test.nodes])
		if chosen := len(roles.Executors) > 0; chosen != test.chosen {
			t.Errorf("%d nodes: executors %v", test.nodes, roles.Executors)
		}
	}
}

// TestLossOfAnEqualChangesOnlyItsPlace: the next of its zone follows it, and all
// others keep their roles.
func TestLossOfAnEqualChangesOnlyItsPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := equals(rapid.IntRange(24, 300).Draw(t, "nodes"), rapid.IntRange(1, 13).Draw(t, "zones"))
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		left := slices.Delete(slices.Clone(members), lost, lost+1)
		before, after := roster.FirstOfZones(members, executorsPerZone), roster.FirstOfZones(left, executorsPerZone)
		if !slices.Contains(before, members[lost]) {
			if !slices.Equal(before, after) {
				t.Fatalf("from %v to %v", before, after)
			}
			return
		}
		for _, one := range before {
			if one != members[lost] && !slices.Contains(after, one) {
				t.Fatalf("%s is lost, and %s runs no requests of others any more", members[lost].Name, one.Name)
			}
		}
	})
}
