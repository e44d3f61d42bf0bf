package cordon

import (
	"slices"
	"testing"
	"time"
)

// TestStaleListPutsNoZoneBack, and each zone of a list changes once.
func TestStaleListReturnsNoZoneToService(t *testing.T) {
	zones := NewZones()
	zones.Set(Change{Zone: "north", Cordoned: true})
	listed := []string{"south", "south", "east"}
	added := []Change{{"south", true}, {"east", true}}
	if got := zones.Changes(listed, true); !slices.Equal(got, added) {
		t.Errorf("stale: %v", got)
	}
	if got := zones.Changes(listed, false); !slices.Equal(got, append(added, Change{"north", false})) {
		t.Errorf("whole: %v", got)
	}
	if got := zones.Names(); !slices.Equal(got, []string{"north"}) {
		t.Errorf("applied: %v", got)
	}
}

func TestLeavesOfReturnedZoneAreCold(t *testing.T) {
	for _, test := range []struct{ known, now, cold, want time.Duration }{
		{0, 10, 3, 13}, {20, 10, 3, 20}, {5, 10, 0, 10},
	} {
		if got := ColdUntil(test.known, test.now, test.cold); got != test.want {
			t.Errorf("%+v: %d", test, got)
		}
	}
}
