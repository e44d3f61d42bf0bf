package executors

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/micaplank/micaplank/internal/roster"
)

func newMember(name, zone string, cores float64) roster.Member {
	return roster.Member{Name: name, Zone: zone, Cores: cores, Peer: netip.MustParseAddrPort("127.0.0.1:" + fmt.Sprint(1000+len(name)+int(name[len(name)-1])))}
}

// newLargeAndSmallNodes returns large and small nodes, spread over zones.
func newLargeAndSmallNodes(large, small int) []roster.Member {
	zones := []string{"a", "b", "c", "d"}
	var members []roster.Member
	for number := range large {
		members = append(members, newMember(fmt.Sprintf("large-%d", number), zones[number%4], 0.8))
	}
	for number := range small {
		members = append(members, newMember(fmt.Sprintf("small-%d", number), zones[number%4], 0.2))
	}
	return members
}

func TestAssignRoles(t *testing.T) {
	for _, test := range []struct {
		name      string
		members   []roster.Member
		self      roster.Member
		role      Role
		executors int
	}{
		{"small among large", newLargeAndSmallNodes(8, 56), newMember("small-1", "a", 0.2), RoleDelegator, 8},
		{"large", newLargeAndSmallNodes(8, 56), newMember("large-1", "a", 0.8), RoleExecutor, 8},
		{"medium", append(newLargeAndSmallNodes(8, 56), newMember("middle-1", "a", 0.5)), newMember("middle-1", "a", 0.5), RoleStandalone, 8},
		{"equal sizes", newLargeAndSmallNodes(0, 56), newMember("small-1", "a", 0.2), RoleStandalone, 0},
		{"only one large", newLargeAndSmallNodes(1, 4), newMember("small-1", "a", 0.2), RoleDelegator, 1},
		{"few large for many small", newLargeAndSmallNodes(2, 100), newMember("small-1", "a", 0.2), RoleDelegator, 2},
		{"none small enough", []roster.Member{newMember("x-1", "a", 0.8), newMember("x-2", "a", 0.5)}, newMember("x-2", "a", 0.5), RoleStandalone, 0},
		{"no members", nil, newMember("small-1", "a", 0.2), RoleStandalone, 0},
		{"cores not announced", []roster.Member{{Name: "x"}, {Name: "y"}}, newMember("small-1", "a", 0.2), RoleStandalone, 0},
	} {
		roles := Assign(test.self, test.members)
		if roles.Self != test.role || len(roles.Executors) != test.executors {
			t.Errorf("%s: got role %d and %d executors, want role %d and %d", test.name, roles.Self, len(roles.Executors), test.role, test.executors)
		}
	}
}
