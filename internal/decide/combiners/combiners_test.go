package combiners

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/roster"
)

func newMembers(zones ...string) []roster.Member {
	var all []roster.Member
	for number, zone := range zones {
		all = append(all, roster.Member{
			Name: fmt.Sprint("node-", number), Zone: zone, Peer: netip.MustParseAddrPort(fmt.Sprint("127.0.0.1:", 7000+number)),
		})
	}
	return all
}

// newTable returns the table of node-0 of zone a.
func newTable(zones ...string) *Table {
	all := newMembers(zones...)
	table := NewTable(DefaultConfig())
	table.Replace(all[0], all)
	return table
}

func TestReplaceKeepsAtMostCombinersPerZone(t *testing.T) {
	table := newTable("a", "a", "b", "b", "b", "c")
	if len(table.zones["a"]) != 0 || len(table.zones["b"]) != table.config.CombinersPerZone || len(table.zones["c"]) != 1 {
		t.Errorf("combiners %v", table.zones)
	}
}

// TestSilentCombinerIsLost asks it once it is silent, and gives up its attempts
// when no answer comes.
func TestSilentCombinerIsLost(t *testing.T) {
	table := newTable("a", "b")
	combiner := table.zones["b"][0]
	if table.Choose("b") != nil {
		t.Fatal("a combiner is used that was never heard")
	}
	now := time.Second
	combiner.Answered(now, time.Millisecond)
	alive := combiner.Alive()
	if due, _ := table.Due(now + table.config.HeartbeatInterval/2); len(due) != 0 || table.Choose("b") != combiner {
		t.Fatalf("asked %v right after it was heard", due)
	}
	if due, lost := table.Due(now + table.config.HeartbeatInterval); len(due) != 1 || len(lost) != 0 {
		t.Fatalf("asked %v, lost %v when it was silent", due, lost)
	}
	if due, lost := table.Due(now + table.config.HeartbeatTimeout + 1); len(due) != 0 || len(lost) != 1 || alive.Err() == nil {
		t.Fatalf("asked %v, lost %v after its time", due, lost)
	}
	if table.Choose("b") != nil {
		t.Error("a lost combiner is used")
	}
	combiner.Heard(2 * time.Second)
	if table.Choose("b") != nil {
		t.Error("a late answer brought it back")
	}
	combiner.Answered(2*time.Second, time.Millisecond)
	if table.Choose("b") != combiner {
		t.Error("it is not used again")
	}
}

func TestSlowCombinerIsNotUsed(t *testing.T) {
	table := newTable("a", "b")
	combiner := table.zones["b"][0]
	combiner.Answered(1, time.Millisecond)
	for range 20 {
		combiner.Answered(1, 4*table.config.MaxRoundTrip)
	}
	if table.Choose("b") != nil {
		t.Error("a slow combiner is used")
	}
	for range 20 {
		combiner.Answered(1, time.Millisecond)
	}
	if table.Choose("b") != combiner {
		t.Error("it is not used again")
	}
}

// TestCombinerThatIsNotPreferredAnyMore gets no attempts, and ends those that it
// has in hand.
func TestReplacedCombinerFinishesItsAttempts(t *testing.T) {
	table := newTable("a", "b")
	combiner := table.zones["b"][0]
	combiner.Answered(1, time.Millisecond)
	alive := combiner.Alive()
	table.Replace(newMembers("a")[0], newMembers("a"))
	if alive.Err() != nil {
		t.Error("its attempts were cut off")
	}
	if table.Choose("b") != nil || combiner.isUsable(time.Hour) {
		t.Error("it gets more attempts")
	}
}
