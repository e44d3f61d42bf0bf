package executors

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/roster"
)

// drawFleet returns nodes of some sizes, in some zones.
func drawFleet(t *rapid.T) []roster.Member {
	sizes := rapid.SliceOfN(rapid.SampledFrom([]float64{0.1, 0.2, 0.4, 0.8, 1.6}), 1, 4).Draw(t, "sizes")
	zones := rapid.IntRange(1, 6).Draw(t, "zones")
	count := rapid.IntRange(2, 400).Draw(t, "nodes")
	members := make([]roster.Member, count)
	for index := range members {
		size := sizes[rapid.IntRange(0, len(sizes)-1).Draw(t, "size")]
		members[index] = node(fmt.Sprintf("node-%d", index), fmt.Sprintf("zone-%d", rapid.IntRange(0, zones-1).Draw(t, "zone")), size)
	}
	return members
}

// runsAt returns the node that runs the requests of a node when all is well.
func runsAt(self roster.Member, members []roster.Member) string {
	roles := Assign(self, members)
	if roles.Self != RoleDelegator {
		return self.Name
	}
	table := NewTable(DefaultConfig(), self)
	table.Replace(0, roles.Executors)
	now := time.Millisecond
	for _, one := range table.watched {
		table.Heard(now, 0, one, Status{Accepting: true})
	}
	return table.Choose(Terms{}, nil).Name
}

// TestLossMovesOnlyTheShareOfTheNodeThatIsLost: the requests of a node move only if
// they ran at the one that is gone.
func TestLossMovesOnlyTheShareOfTheNodeThatIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawFleet(t)
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		left := append(append([]roster.Member{}, members[:lost]...), members[lost+1:]...)
		for index := 0; index < len(left); index += 1 + len(left)/20 {
			self := left[index]
			before, after := runsAt(self, members), runsAt(self, left)
			if before != after && before != members[lost].Name {
				t.Fatalf("%s is lost: requests of %s move from %s to %s", members[lost].Name, self.Name, before, after)
			}
		}
	})
}

// TestEveryNodeFindsTheSameExecutors, whoever it is.
func TestEveryNodeFindsTheSameExecutors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawFleet(t)
		want := Assign(members[0], members).Executors
		for _, self := range members {
			roles := Assign(self, members)
			if len(roles.Executors) != len(want) {
				t.Fatalf("%d executors by %s, %d by %s", len(roles.Executors), self.Name, len(want), members[0].Name)
			}
			if roles.Self == RoleDelegator && len(roles.Executors) == 0 {
				t.Fatalf("%s delegates to nobody", self.Name)
			}
		}
	})
}
