package executors

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/roster"
)

// drawMembers returns nodes of some sizes in some zones.
func drawMembers(t *rapid.T) []roster.Member {
	sizes := rapid.SliceOfN(rapid.SampledFrom([]float64{0.1, 0.2, 0.4, 0.8, 1.6}), 1, 4).Draw(t, "sizes")
	zones := rapid.IntRange(1, 6).Draw(t, "zones")
	count := rapid.IntRange(2, 400).Draw(t, "nodes")
	members := make([]roster.Member, count)
	for index := range members {
		size := sizes[rapid.IntRange(0, len(sizes)-1).Draw(t, "size")]
		members[index] = newMember(fmt.Sprintf("node-%d", index), fmt.Sprintf("zone-%d", rapid.IntRange(0, zones-1).Draw(t, "zone")), size)
	}
	return members
}

// chosenExecutor returns the node that runs the requests of self if all executors accept requests.
func chosenExecutor(self roster.Member, members []roster.Member) string {
	roles := Assign(self, members)
	if roles.Self != RoleDelegator {
		return self.Name
	}
	table := NewTable(DefaultConfig(), self)
	table.Replace(0, roles.Executors)
	now := time.Millisecond
	for _, executor := range table.monitored {
		table.RecordAnswer(now, 0, executor, Status{Accepting: true})
	}
	return table.Choose(Terms{}, nil).Name
}

// TestNodeLossMovesOnlyItsOwnRequests checks that the loss of a node moves only requests that ran
// on it.
func TestNodeLossMovesOnlyItsOwnRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		remaining := append(append([]roster.Member{}, members[:lost]...), members[lost+1:]...)
		for index := 0; index < len(remaining); index += 1 + len(remaining)/20 {
			self := remaining[index]
			before, after := chosenExecutor(self, members), chosenExecutor(self, remaining)
			if before != after && before != members[lost].Name {
				t.Fatalf("after the loss of %s, requests of %s move from %s to %s", members[lost].Name, self.Name, before, after)
			}
		}
	})
}

// TestEveryNodeAssignsSameExecutors computes the roles as each of the nodes.
func TestEveryNodeAssignsSameExecutors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		want := Assign(members[0], members).Executors
		for _, self := range members {
			roles := Assign(self, members)
			if len(roles.Executors) != len(want) {
				t.Fatalf("%s assigns %d executors, %s assigns %d", self.Name, len(roles.Executors), members[0].Name, len(want))
			}
			if roles.Self == RoleDelegator && len(roles.Executors) == 0 {
				t.Fatalf("%s is a delegator without executors", self.Name)
			}
		}
	})
}
