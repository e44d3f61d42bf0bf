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
		watchers := SelectWatchers(membersInFourZones(test.members))
		if len(watchers) < test.watchers || len(watchers) > test.watchers+3 {
			t.Errorf("%d nodes: got %d watchers, want %d to %d", test.members, len(watchers), test.watchers, test.watchers+3)
		}
		zones := make(map[string]bool)
		for _, watcher := range watchers {
			zones[watcher.Zone] = true
		}
		if test.watchers > 0 && len(zones) != 4 {
			t.Errorf("%d nodes: got watchers in %d zones, want 4", test.members, len(zones))
		}
	}
}

// TestWatchersAreStableWhenOneLeaves checks that the loss of a watcher does not change the others,
// so that their followers keep them.
func TestWatchersAreStableWhenOneLeaves(t *testing.T) {
	members := membersInFourZones(64)
	before := SelectWatchers(members)
	remaining := members[:0:0]
	for _, member := range members {
		if member.Name != before[0].Name {
			remaining = append(remaining, member)
		}
	}
	kept := 0
	for _, watcher := range SelectWatchers(remaining) {
		for _, previous := range before {
			if watcher == previous {
				kept++
			}
		}
	}
	if kept != len(before)-1 {
		t.Errorf("got %d of the previous watchers, want %d", kept, len(before)-1)
	}
}

func TestPreferredPutsOwnZoneFirst(t *testing.T) {
	members := membersInFourZones(12)
	sorted := OrderByZone(members[1], members)
	for index, member := range sorted {
		if sameZone := member.Zone == members[1].Zone; sameZone != (index < 3) {
			t.Fatalf("got order %+v, want the 3 members of zone %s first", sorted, members[1].Zone)
		}
	}
}
