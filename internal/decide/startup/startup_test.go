package startup

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/micaplank/micaplank/internal/roster"
)

// address returns the address of a node by its number.
func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7380)
}

func announced(count int) []roster.Member {
	members := make([]roster.Member, count)
	for number := range members {
		members[number] = roster.Member{Name: fmt.Sprint("node-", number), Zone: fmt.Sprint("zone-", number%4), Peer: address(number)}
	}
	return members
}

// reversed is a deterministic Shuffle.
func reversed(count int, swap func(i, j int)) {
	for i, j := 0, count-1; i < j; i, j = i+1, j-1 {
		swap(i, j)
	}
}

// TestPlanByFleetSize checks the plans of a new node and of a seed by the number of announced
// nodes.
func TestPlanByFleetSize(t *testing.T) {
	seeds := []netip.AddrPort{address(0), address(1), address(2)}
	for _, test := range []struct {
		name           string
		nodes          int
		source, direct bool
		others         int
	}{
		{"none", 0, false, false, 3},
		{"few", minNodesForSources - 1, false, true, 3},
		{"many", minNodesForSources, false, false, 4},
		{"more", 12 * nodesPerSource, false, false, 12},
	} {
		plan := NewPlan(address(9999), announced(test.nodes), seeds, reversed)
		if plan.IsSource != test.source || plan.ReadsDirectly != test.direct || len(plan.Sources) < test.others {
			t.Errorf("%s: got plan %+v, want source %v, direct %v and at least %d others", test.name, plan, test.source, test.direct, test.others)
		}
		seed := NewPlan(seeds[1], announced(test.nodes), seeds, reversed)
		if seed.IsSource == test.direct || slices.Contains(seed.Sources, seeds[1]) {
			t.Errorf("%s: got plan %+v for a seed", test.name, seed)
		}
	}
	if plan := NewPlan(address(9), nil, seeds, reversed); !slices.Equal(plan.Sources, []netip.AddrPort{seeds[2], seeds[1], seeds[0]}) {
		t.Errorf("got sources %v, want the seeds in shuffled order", plan.Sources)
	}
}

func TestStateReady(t *testing.T) {
	for _, test := range []struct {
		state State
		want  bool
	}{
		{State{}, false},
		{State{Configured: true}, false},
		{State{LeavesKnown: true}, false},
		{State{Configured: true, LeavesKnown: true}, true},
		{State{Configured: true, LeavesKnown: true, Draining: true}, false},
	} {
		if got := test.state.Ready(); got != test.want {
			t.Errorf("%+v: ready = %v, want %v", test.state, got, test.want)
		}
	}
}
