package relay

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
	if roles.Self != RoleRelay {
		return self.Name
	}
	b := board{config: DefaultConfig()}
	b.set(0, self, roles.Executors)
	now := time.Millisecond
	for _, one := range b.targets {
		b.heard(now, 0, one, Status{Accepting: true})
	}
	return b.pick(Terms{}, nil).Name
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
			if roles.Self == RoleRelay && len(roles.Executors) == 0 {
				t.Fatalf("%s hands on to nobody", self.Name)
			}
		}
	})
}

// TestFurtherExecutorsTakeThePlaceOfLostOnes, so that a small node runs queries of
// many shards only when all executors are away, and they go back when it is over.
func TestFurtherExecutorsTakeThePlaceOfLostOnes(t *testing.T) {
	members := fleet(8, 8)
	self := members[10]
	executors := Assign(self, members).Executors
	b := board{config: DefaultConfig()}
	b.set(0, self, executors)
	now := time.Duration(0)
	names := func() (names []string) {
		for _, one := range b.targets {
			names = append(names, one.Name)
		}
		return names
	}
	beat := func(answers func(name string) bool) {
		now += b.config.HeartbeatInterval
		b.expire(now)
		b.watch(now)
		for _, one := range b.targets {
			if answers(one.Name) {
				b.heard(now, 0, one, Status{Accepting: true})
			}
		}
	}
	first := names()
	for range 20 {
		beat(func(name string) bool { return name != first[0] && name != first[1] && name != first[2] })
	}
	if chosen := b.pick(Terms{}, nil); len(b.targets) != 2*watchedExecutors || chosen == nil {
		t.Fatalf("watches %v", names())
	}
	for range 20 {
		beat(func(string) bool { return true })
	}
	if got := names(); fmt.Sprint(got) != fmt.Sprint(first) {
		t.Errorf("watches %v, at first %v", got, first)
	}
}

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
