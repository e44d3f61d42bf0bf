package executors

import (
	"testing"
	"time"
)

// TestLoadBoundsAcceptedWork checks that a node has no capacity above maxUtilization until its load
// decays.
func TestLoadBoundsAcceptedWork(t *testing.T) {
	const cores = 0.8
	var load Load
	now := time.Duration(0)
	addLoad := func(attemptsASecond int) {
		for range 50 {
			now += 100 * time.Millisecond
			load.Add(now, attemptsASecond/10)
		}
	}
	maxRate := int(maxUtilization * cores / attemptCost.Seconds())
	if addLoad(maxRate * 9 / 10); !load.HasCapacity(now, cores) {
		t.Error("got no capacity at 90 % of the maximum rate")
	}
	if addLoad(maxRate * 11 / 10); load.HasCapacity(now, cores) {
		t.Error("got capacity at 110 % of the maximum rate")
	}
	if !load.HasCapacity(now+loadDecayTime, cores) {
		t.Error("got no capacity after an idle loadDecayTime")
	}
}
