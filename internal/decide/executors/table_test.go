package executors

import (
	"fmt"
	"testing"
	"time"
)

// TestMonitoredExecutorsSpreadOverFleet checks that each node monitors the executors of its own
// zone, and that the nodes do not all monitor the same executor of another zone.
func TestMonitoredExecutorsSpreadOverFleet(t *testing.T) {
	members := newLargeAndSmallNodes(8, 56)
	executors := Assign(members[10], members).Executors
	monitoredBy := make(map[string]int)
	for _, self := range members[8:] {
		table := NewTable(DefaultConfig(), self)
		table.Replace(0, executors)
		chosen := table.monitored
		if len(chosen) != monitoredExecutors || chosen[0].Zone != self.Zone || chosen[1].Zone != self.Zone {
			t.Fatalf("%s monitors %+v, want %d executors with the first two in its zone", self.Name, chosen, monitoredExecutors)
		}
		monitoredBy[chosen[2].Name]++
	}
	if len(monitoredBy) < 6 {
		t.Errorf("got monitored executors of other zones %v, want at least 6 different ones", monitoredBy)
	}
}

// TestLostExecutorsAreReplacedInMonitoredSet checks that a small node runs queries of many shards
// only if all executors are lost, and that the preferred executors return to the set once they
// recover.
func TestLostExecutorsAreReplacedInMonitoredSet(t *testing.T) {
	members := newLargeAndSmallNodes(8, 8)
	self := members[10]
	executors := Assign(self, members).Executors
	table := NewTable(DefaultConfig(), self)
	table.Replace(0, executors)
	now := time.Duration(0)
	names := func() (names []string) {
		for _, executor := range table.monitored {
			names = append(names, executor.Name)
		}
		return names
	}
	heartbeat := func(answers func(name string) bool) {
		now += table.config.HeartbeatInterval
		table.Expire(now)
		table.UpdateMonitored(now)
		for _, executor := range table.monitored {
			if answers(executor.Name) {
				table.RecordAnswer(now, 0, executor, Status{Accepting: true})
			}
		}
	}
	first := names()
	for range 20 {
		heartbeat(func(name string) bool { return name != first[0] && name != first[1] && name != first[2] })
	}
	if chosen := table.Choose(Terms{}, nil); len(table.monitored) != 2*monitoredExecutors || chosen == nil {
		t.Fatalf("monitors %v and chose %v, want %d executors and a usable one", names(), chosen, 2*monitoredExecutors)
	}
	for range 20 {
		heartbeat(func(string) bool { return true })
	}
	if got := names(); fmt.Sprint(got) != fmt.Sprint(first) {
		t.Errorf("monitors %v after recovery, want %v as before", got, first)
	}
}
