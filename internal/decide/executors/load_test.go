package executors

import (
	"testing"
	"time"
)

// TestLoadEndsTheRoom of a node before its processor is used up, and gives it back.
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
		t.Error("no room at nine tenths")
	}
	if addLoad(maxRate * 11 / 10); load.HasCapacity(now, cores) {
		t.Error("room beyond the bound")
	}
	if !load.HasCapacity(now+loadDecayTime, cores) {
		t.Error("no room after a pause")
	}
}
