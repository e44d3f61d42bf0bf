package cordon

import (
	"slices"
	"testing"
	"time"
)

// TestStaleListReturnsNoZoneToService also checks that each zone of a list changes once.
func TestStaleListReturnsNoZoneToService(t *testing.T) {
	zones := NewZones()
	zones.Set(Change{Zone: "north", Cordoned: true})
	listed := []string{"south", "south", "east"}
	added := []Change{{"south", true}, {"east", true}}
	if got := zones.Diff(listed, true); !slices.Equal(got, added) {
		t.Errorf("stale list: got changes %v, want %v", got, added)
	}
	if got := zones.Diff(listed, false); !slices.Equal(got, append(added, Change{"north", false})) {
		t.Errorf("complete list: got changes %v, want the additions and the return of north", got)
	}
	if got := zones.Names(); !slices.Equal(got, []string{"north"}) {
		t.Errorf("Changes modified the cordoned zones: got %v, want [north]", got)
	}
}

func TestLeavesOfReturnedZoneAreCold(t *testing.T) {
	for _, test := range []struct{ known, now, cold, want time.Duration }{
		{0, 10, 3, 13}, {20, 10, 3, 20}, {5, 10, 0, 10},
	} {
		if got := ColdUntil(test.known, test.now, test.cold); got != test.want {
			t.Errorf("%+v: got %d", test, got)
		}
	}
}
