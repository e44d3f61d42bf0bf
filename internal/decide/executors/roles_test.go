package executors

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/micaplank/micaplank/internal/roster"
)

func node(name, zone string, cores float64) roster.Member {
	return roster.Member{Name: name, Zone: zone, Cores: cores, Peer: netip.MustParseAddrPort("127.0.0.1:" + fmt.Sprint(1000+len(name)+int(name[len(name)-1])))}
}

// fleet returns large and small nodes, spread over zones.
func fleet(large, small int) []roster.Member {
	zones := []string{"a", "b", "c", "d"}
	var members []roster.Member
	for number := range large {
		members = append(members, node(fmt.Sprintf("large-%d", number), zones[number%4], 0.8))
	}
	for number := range small {
		members = append(members, node(fmt.Sprintf("small-%d", number), zones[number%4], 0.2))
	}
	return members
}

func TestAssign(t *testing.T) {
	for _, test := range []struct {
		name      string
		members   []roster.Member
		self      roster.Member
		role      Role
		executors int
	}{
		{"small among large", fleet(8, 56), node("small-1", "a", 0.2), RoleDelegator, 8},
		{"large", fleet(8, 56), node("large-1", "a", 0.8), RoleExecutor, 8},
		{"between", append(fleet(8, 56), node("middle-1", "a", 0.5)), node("middle-1", "a", 0.5), RoleAlone, 8},
		{"all alike", fleet(0, 56), node("small-1", "a", 0.2), RoleAlone, 0},
		{"only one large", fleet(1, 4), node("small-1", "a", 0.2), RoleDelegator, 1},
		{"few for many", fleet(2, 100), node("small-1", "a", 0.2), RoleDelegator, 2},
		{"none small enough", []roster.Member{node("x-1", "a", 0.8), node("x-2", "a", 0.5)}, node("x-2", "a", 0.5), RoleAlone, 0},
		{"nobody known", nil, node("small-1", "a", 0.2), RoleAlone, 0},
		{"cores not told", []roster.Member{{Name: "x"}, {Name: "y"}}, node("small-1", "a", 0.2), RoleAlone, 0},
	} {
		roles := Assign(test.self, test.members)
		if roles.Self != test.role || len(roles.Executors) != test.executors {
			t.Errorf("%s: role %d, %d executors", test.name, roles.Self, len(roles.Executors))
		}
	}
}
