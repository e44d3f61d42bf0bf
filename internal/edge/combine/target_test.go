package combine

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

// newDirectory returns the directory of node-0 of zone a.
func newDirectory(zones ...string) *directory {
	all := members(zones...)
	b := &directory{config: DefaultConfig()}
	b.set(all[0], all)
	return b
}

func TestBoardKeepsAFewOfEachOtherZone(t *testing.T) {
	b := newDirectory("a", "a", "b", "b", "b", "c")
	if len(b.zones["a"]) != 0 || len(b.zones["b"]) != b.config.CombinersPerZone || len(b.zones["c"]) != 1 {
		t.Errorf("combiners %v", b.zones)
	}
}

// TestSilentCombinerIsLost asks it once it is silent, and gives up its attempts
// when no answer comes.
func TestSilentCombinerIsLost(t *testing.T) {
	b := newDirectory("a", "b")
	one := b.zones["b"][0]
	if b.pick("b") != nil {
		t.Fatal("a combiner is used that was never heard")
	}
	now := time.Second
	one.answered(now, time.Millisecond)
	alive := one.Alive()
	if asked, _ := b.due(now + b.config.HeartbeatInterval/2); len(asked) != 0 || b.pick("b") != one {
		t.Fatalf("asked %v right after it was heard", asked)
	}
	if asked, lost := b.due(now + b.config.HeartbeatInterval); len(asked) != 1 || len(lost) != 0 {
		t.Fatalf("asked %v, lost %v when it was silent", asked, lost)
	}
	if asked, lost := b.due(now + b.config.HeartbeatTimeout + 1); len(asked) != 0 || len(lost) != 1 || alive.Err() == nil {
		t.Fatalf("asked %v, lost %v after its time", asked, lost)
	}
	if b.pick("b") != nil {
		t.Error("a lost combiner is used")
	}
	one.Heard(2 * time.Second)
	if b.pick("b") != nil {
		t.Error("a late answer brought it back")
	}
	one.answered(2*time.Second, time.Millisecond)
	if b.pick("b") != one {
		t.Error("it is not used again")
	}
}

func TestSlowCombinerIsNotUsed(t *testing.T) {
	b := newDirectory("a", "b")
	one := b.zones["b"][0]
	one.answered(1, time.Millisecond)
	for range 20 {
		one.answered(1, 4*b.config.MaxRoundTrip)
	}
	if b.pick("b") != nil {
		t.Error("a slow combiner is used")
	}
	for range 20 {
		one.answered(1, time.Millisecond)
	}
	if b.pick("b") != one {
		t.Error("it is not used again")
	}
}

// TestCombinerThatIsNotPreferredAnyMore gets no attempts, and ends those that it
// has in hand.
func TestCombinerThatIsNotPreferredAnyMore(t *testing.T) {
	b := newDirectory("a", "b")
	one := b.zones["b"][0]
	one.answered(1, time.Millisecond)
	alive := one.Alive()
	b.set(members("a")[0], members("a"))
	if alive.Err() != nil {
		t.Error("its attempts were cut off")
	}
	if b.pick("b") != nil || one.usable(time.Hour) {
		t.Error("it gets more attempts")
	}
}
