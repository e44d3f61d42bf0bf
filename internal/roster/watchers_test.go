package roster

import (
	"fmt"
	"testing"
)

func membersInFourZones(count int) []Member {
	members := make([]Member, count)
	for index := range members {
		members[index] = Member{Name: fmt.Sprintf("node-%d", index), Zone: fmt.Sprintf("zone-%d", index%4)}
	}
	return members
}

func TestWatchers(t *testing.T) {
	for _, test := range []struct{ members, watchers int }{{0, 0}, {8, 0}, {15, 0}, {16, 4}, {64, 4}, {300, 6}, {1000, 20}, {3900, 78}} {
		watchers := Watchers(membersInFourZones(test.members))
		if len(watchers) < test.watchers || len(watchers) > test.watchers+3 {
			t.Errorf("%d watchers of %d nodes, want %d", len(watchers), test.members, test.watchers)
		}
		zones := make(map[string]bool)
		for _, watcher := range watchers {
			zones[watcher.Zone] = true
		}
		if test.watchers > 0 && len(zones) != 4 {
			t.Errorf("%d nodes: watchers in %d zones", test.members, len(zones))
		}
	}
}

// TestWatchersStayWhenOthersLeave moves no follower without need.
func TestWatchersAreStableWhenOneLeaves(t *testing.T) {
	members := membersInFourZones(64)
	before := Watchers(members)
	left := members[:0:0]
	for _, member := range members {
		if member.Name != before[0].Name {
			left = append(left, member)
		}
	}
	kept := 0
	for _, watcher := range Watchers(left) {
		for _, former := range before {
			if watcher == former {
				kept++
			}
		}
	}
	if kept != len(before)-1 {
		t.Errorf("%d of %d stay", kept, len(before)-1)
	}
}

func TestPreferredPutsOwnZoneFirst(t *testing.T) {
	members := membersInFourZones(12)
	order := Preferred(members[1], members)
	for index, member := range order {
		if near := member.Zone == members[1].Zone; near != (index < 3) {
			t.Fatalf("%+v", order)
		}
	}
}
