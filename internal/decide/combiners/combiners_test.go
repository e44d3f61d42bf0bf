package combiners

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/roster"
)

func members(zones ...string) []roster.Member {
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
	all := members(zones...)
	b := NewTable(DefaultConfig())
	b.Replace(all[0], all)
	return b
}

func TestTableKeepsAFewOfEachOtherZone(t *testing.T) {
	b := newTable("a", "a", "b", "b", "b", "c")
	if len(b.zones["a"]) != 0 || len(b.zones["b"]) != b.config.CombinersPerZone || len(b.zones["c"]) != 1 {
		t.Errorf("combiners %v", b.zones)
	}
}

// TestSilentCombinerIsLost asks it once it is silent, and gives up its attempts
// when no answer comes.
func TestSilentCombinerIsLost(t *testing.T) {
	b := newTable("a", "b")
	one := b.zones["b"][0]
	if b.Choose("b") != nil {
		t.Fatal("a combiner is used that was never heard")
	}
	now := time.Second
	one.Answered(now, time.Millisecond)
	alive := one.Alive()
	if asked, _ := b.Due(now + b.config.HeartbeatInterval/2); len(asked) != 0 || b.Choose("b") != one {
		t.Fatalf("asked %v right after it was heard", asked)
	}
	if asked, lost := b.Due(now + b.config.HeartbeatInterval); len(asked) != 1 || len(lost) != 0 {
		t.Fatalf("asked %v, lost %v when it was silent", asked, lost)
	}
	if asked, lost := b.Due(now + b.config.HeartbeatTimeout + 1); len(asked) != 0 || len(lost) != 1 || alive.Err() == nil {
		t.Fatalf("asked %v, lost %v after its time", asked, lost)
	}
	if b.Choose("b") != nil {
		t.Error("a lost combiner is used")
	}
	one.Heard(2 * time.Second)
	if b.Choose("b") != nil {
		t.Error("a late answer brought it back")
	}
	one.Answered(2*time.Second, time.Millisecond)
	if b.Choose("b") != one {
		t.Error("it is not used again")
	}
}

func TestSlowCombinerIsNotUsed(t *testing.T) {
	b := newTable("a", "b")
	one := b.zones["b"][0]
	one.Answered(1, time.Millisecond)
	for range 20 {
		one.Answered(1, 4*b.config.MaxRoundTrip)
	}
	if b.Choose("b") != nil {
		t.Error("a slow combiner is used")
	}
	for range 20 {
		one.Answered(1, time.Millisecond)
	}
	if b.Choose("b") != one {
		t.Error("it is not used again")
	}
}

// TestCombinerThatIsNotPreferredAnyMore gets no attempts, and ends those that it
// has in hand.
func TestCombinerThatIsNotPreferredAnyMore(t *testing.T) {
	b := newTable("a", "b")
	one := b.zones["b"][0]
	one.Answered(1, time.Millisecond)
	alive := one.Alive()
	b.Replace(members("a")[0], members("a"))
	if alive.Err() != nil {
		t.Error("its attempts were cut off")
	}
	if b.Choose("b") != nil || one.usable(time.Hour) {
		t.Error("it gets more attempts")
	}
}
