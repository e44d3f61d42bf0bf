package executors

import (
	"testing"
	"time"
)

// TestLoadEndsTheRoom of a node before its processor is used up, and gives it back.
func TestLoadEndsTheRoom(t *testing.T) {
	const cores = 0.8
	var load Load
	now := time.Duration(0)
	add := func(attemptsASecond int) {
		for range 50 {
			now += 100 * time.Millisecond
			load.Add(now, attemptsASecond/10)
		}
	}
	full := int(fullUtilization * cores / attemptCost.Seconds())
	if add(full * 9 / 10); !load.Room(now, cores) {
		t.Error("no room at nine tenths")
	}
	if add(full * 11 / 10); load.Room(now, cores) {
		t.Error("room beyond the bound")
	}
	if !load.Room(now+loadMemory, cores) {
		t.Error("no room after a pause")
	}
}
