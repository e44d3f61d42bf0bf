package executors

import (
	"fmt"
	"testing"
	"time"
)

// TestWatchedSpreadOverExecutors keeps in touch with those of the zone, and with
// others, not all nodes with the same.
func TestMonitoredExecutorsSpreadOverFleet(t *testing.T) {
	members := newLargeAndSmallNodes(8, 56)
	executors := Assign(members[10], members).Executors
	asked := make(map[string]int)
	for _, self := range members[8:] {
		table := NewTable(DefaultConfig(), self)
		table.Replace(0, executors)
		chosen := table.monitored
		if len(chosen) != monitoredExecutors || chosen[0].Zone != self.Zone || chosen[1].Zone != self.Zone {
			t.Fatalf("%s watches %+v", self.Name, chosen)
		}
		asked[chosen[2].Name]++
	}
	if len(asked) < 6 {
		t.Errorf("executors of other zones: %v", asked)
	}
}

// TestFurtherExecutorsTakeThePlaceOfLostOnes, so that a small node runs queries of
// many shards only when all executors are away, and they go back when it is over.
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
		table.Watch(now)
		for _, executor := range table.monitored {
			if answers(executor.Name) {
				table.Heard(now, 0, executor, Status{Accepting: true})
			}
		}
	}
	first := names()
	for range 20 {
		heartbeat(func(name string) bool { return name != first[0] && name != first[1] && name != first[2] })
	}
	if chosen := table.Choose(Terms{}, nil); len(table.monitored) != 2*monitoredExecutors || chosen == nil {
		t.Fatalf("watches %v", names())
	}
	for range 20 {
		heartbeat(func(string) bool { return true })
	}
	if got := names(); fmt.Sprint(got) != fmt.Sprint(first) {
		t.Errorf("watches %v, at first %v", got, first)
	}
}
