package combiners

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/roster"
)

func newMembers(zones ...string) []roster.Member {
	var members []roster.Member
	for number, zone := range zones {
		members = append(members, roster.Member{
			Name: fmt.Sprint("node-", number), Zone: zone, Peer: netip.MustParseAddrPort(fmt.Sprint("127.0.0.1:", 7000+number)),
		})
	}
	return members
}

// newTable returns the table of node-0, which is in the first of the zones.
func newTable(zones ...string) *Table {
	members := newMembers(zones...)
	table := NewTable(DefaultConfig())
	table.Replace(members[0], members)
	return table
}

func TestReplaceKeepsAtMostCombinersPerZone(t *testing.T) {
	table := newTable("a", "a", "b", "b", "b", "c")
	if len(table.zones["a"]) != 0 || len(table.zones["b"]) != table.config.CombinersPerZone || len(table.zones["c"]) != 1 {
		t.Errorf("got combiners %v, want none in zone a, %d in zone b and 1 in zone c", table.zones, table.config.CombinersPerZone)
	}
}

// TestSilentCombinerIsLost checks that a silent combiner is sent a heartbeat, and that its attempts
// end if no answer comes.
func TestSilentCombinerIsLost(t *testing.T) {
	table := newTable("a", "b")
	combiner := table.zones["b"][0]
	if table.Choose("b") != nil {
		t.Fatal("a combiner is chosen before its first answer")
	}
	now := time.Second
	combiner.RecordAnswer(now, time.Millisecond)
	alive := combiner.Alive()
	if due, _ := table.DueHeartbeats(now + table.config.HeartbeatInterval/2); len(due) != 0 || table.Choose("b") != combiner {
		t.Fatalf("heartbeats due to %v and chosen %v right after an answer, want none due and the combiner chosen", due, table.Choose("b"))
	}
	if due, lost := table.DueHeartbeats(now + table.config.HeartbeatInterval); len(due) != 1 || len(lost) != 0 {
		t.Fatalf("after HeartbeatInterval: due %v and lost %v, want one due and none lost", due, lost)
	}
	if due, lost := table.DueHeartbeats(now + table.config.HeartbeatTimeout + 1); len(due) != 0 || len(lost) != 1 || alive.Err() == nil {
		t.Fatalf("after HeartbeatTimeout: due %v and lost %v, want none due, one lost and its context ended", due, lost)
	}
	if table.Choose("b") != nil {
		t.Error("a lost combiner is chosen")
	}
	combiner.RecordMessage(2 * time.Second)
	if table.Choose("b") != nil {
		t.Error("a combiner is chosen after a message that is not an answer to a heartbeat")
	}
	combiner.RecordAnswer(2*time.Second, time.Millisecond)
	if table.Choose("b") != combiner {
		t.Error("a combiner is not chosen after it answered again")
	}
}

func TestSlowCombinerIsNotUsed(t *testing.T) {
	table := newTable("a", "b")
	combiner := table.zones["b"][0]
	combiner.RecordAnswer(1, time.Millisecond)
	for range 20 {
		combiner.RecordAnswer(1, 4*table.config.MaxRoundTrip)
	}
	if table.Choose("b") != nil {
		t.Error("a slow combiner is chosen")
	}
	for range 20 {
		combiner.RecordAnswer(1, time.Millisecond)
	}
	if table.Choose("b") != combiner {
		t.Error("a combiner is not chosen after it became fast again")
	}
}

// TestReplacedCombinerFinishesItsAttempts checks that a combiner that is no longer preferred gets
// no new attempts, while its attempts in flight continue.
func TestReplacedCombinerFinishesItsAttempts(t *testing.T) {
	table := newTable("a", "b")
	combiner := table.zones["b"][0]
	combiner.RecordAnswer(1, time.Millisecond)
	alive := combiner.Alive()
	table.Replace(newMembers("a")[0], newMembers("a"))
	if alive.Err() != nil {
		t.Error("the attempts in flight of a replaced combiner were cancelled")
	}
	if table.Choose("b") != nil || combiner.isUsable(time.Hour) {
		t.Error("a replaced combiner is chosen or usable")
	}
}
