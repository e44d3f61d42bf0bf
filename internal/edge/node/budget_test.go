package node

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/share"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/settings"
)

// budgetSimulation simulates one node whose queries meet leaves that hang at times.
type budgetSimulation struct {
	// queryInterval is the time between two queries.
	queryInterval time.Duration
	// hangs reports whether an attempt at a leaf hangs.
	hangs          func(random *rand.Rand, leaf netip.AddrPort) bool
	random         *rand.Rand
	dispatcher     *dispatch.Dispatcher
	now            time.Duration
	ends           map[dispatch.AttemptID]time.Duration
	sends          map[dispatch.AttemptID]dispatch.Send
	submitted      map[dispatch.QueryID]time.Duration
	answeredInTime int
}

const (
	simulatedObjective = 200 * time.Millisecond
	simulatedQueries   = 60
	// executorQueryInterval is the time between two queries at one of eight executors.
	executorQueryInterval = time.Second / 6
	// standaloneQueryInterval is the time between two queries at one of 76 nodes that each run
	// their own queries.
	standaloneQueryInterval = 76 * executorQueryInterval / 8
	// hangProbability is the share of attempts that hang.
	hangProbability = 0.35
)

// hangAtRandom makes attempts at any leaf hang with hangProbability.
func hangAtRandom(random *rand.Rand, _ netip.AddrPort) bool {
	return random.Float64() < hangProbability
}

// hangAtFirstLeaf makes all attempts at one of the three leaves hang.
func hangAtFirstLeaf(_ *rand.Rand, leaf netip.AddrPort) bool { return leaf.Port() == 1 }

func newBudgetSimulation(bounds hedge.Bounds, queryInterval time.Duration, hangs func(*rand.Rand, netip.AddrPort) bool, seed uint64) *budgetSimulation {
	configured := settings.Example()
	s := &budgetSimulation{
		queryInterval: queryInterval, hangs: hangs,
		random: rand.New(rand.NewPCG(seed, 1)), ends: make(map[dispatch.AttemptID]time.Duration),
		sends: make(map[dispatch.AttemptID]dispatch.Send), submitted: make(map[dispatch.QueryID]time.Duration),
	}
	s.dispatcher = dispatch.New(dispatchConfig(configured), rand.New(rand.NewPCG(seed, 2)))
	s.dispatcher.ResizeBudgets(func(int) hedge.Bounds { return bounds })
	topology := dispatch.Topology{Partitions: []catalog.Partition{{Epoch: registry.Snapshot.Epoch, Shards: 1}}}
	for number := range 3 {
		topology.Leaves = append(topology.Leaves, dispatch.Leaf{
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(number+1)), BootID: fmt.Sprint(number), Usable: true, Slots: 4,
			Holdings: []leaf.Holding{{Snapshot: registry.Snapshot, Shards: []int{0}}},
		})
	}
	s.perform(s.dispatcher.SetTopology(s.now, topology))
	return s
}

func (s *budgetSimulation) perform(actions []dispatch.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case dispatch.Send:
			duration := 20 * time.Millisecond
			if s.hangs(s.random, action.Leaf) {
				duration = time.Second
			}
			s.ends[action.Attempt], s.sends[action.Attempt] = s.now+duration, action
		case dispatch.Abort:
			delete(s.ends, action.Attempt)
			s.perform(s.dispatcher.Fail(s.now, action.Attempt, dispatch.Failure{Sent: true, Aborted: true}))
		case dispatch.Finish:
			if len(action.Answered) == 1 && s.now-s.submitted[action.Query] <= simulatedObjective {
				s.answeredInTime++
			}
		}
	}
}

// run simulates all queries and returns how many were answered within the objective.
func (s *budgetSimulation) run() int {
	class := catalog.Class{Name: "sweep", Priority: 1, HedgePercentile: 0.9, ExtraLoad: 0.2, Repeatable: true}
	next, count := time.Duration(0), 0
	for ; s.now < simulatedQueries*s.queryInterval+time.Second; s.now += time.Millisecond {
		if count < simulatedQueries && s.now >= next {
			count++
			next += s.queryInterval
			id := dispatch.QueryID(count)
			s.submitted[id] = s.now
			s.perform(s.dispatcher.Submit(s.now, dispatch.Query{
				ID: id, Class: class, Shards: []int{0}, Deadline: s.now + 800*time.Millisecond, Objective: s.now + simulatedObjective,
				HedgeDelay: 60 * time.Millisecond, MaximumAttempts: 2, MinimumCoverage: 1,
			}))
		}
		for _, id := range slices.Sorted(maps.Keys(s.ends)) {
			if end, open := s.ends[id]; open && end <= s.now {
				delete(s.ends, id)
				sent := s.sends[id]
				s.perform(s.dispatcher.Reply(s.now, id, dispatch.Reply{Shard: 0, Snapshot: sent.Snapshot, BootID: sent.BootID}))
			}
		}
		if at, scheduled := s.dispatcher.NextTick(); scheduled && at <= s.now {
			s.perform(s.dispatcher.Tick(s.now))
		}
	}
	return s.answeredInTime
}

// TestExecutorsShareWholeSlack guards against a slack that is divided among nodes that run no
// queries of many shards. The leaves of a shard hang in a third of the attempts, at one of eight
// executors with six queries a second: with its part of the whole slack the executor answers more
// queries in time than with an equal part of half of it.
func TestExecutorsShareWholeSlack(t *testing.T) {
	configured := settings.Defaults().Forward
	configured.ExtraSlack = 190
	var members []roster.Member
	for index := range 75 {
		member := roster.Member{Name: fmt.Sprint(index), Cores: 0.2}
		if index < 8 {
			member.Cores = 0.8
		}
		members = append(members, member)
	}
	roles := executors.Assign(members[0], members)
	halfOfSlack := share.ForConnections(roles, members, len(members)).Budget(extraLoadSettings(configured))
	wholeSlack := share.ForExtraLoad(roles, members, len(members), true).Budget(extraLoadSettings(configured))
	baseline, actual := 0, 0
	for seed := range uint64(20) {
		baseline += newBudgetSimulation(halfOfSlack, executorQueryInterval, hangAtRandom, seed).run()
		actual += newBudgetSimulation(wholeSlack, executorQueryInterval, hangAtRandom, seed).run()
	}
	t.Logf("answered in time: %d of %d, with half of the slack %d", actual, 20*simulatedQueries, baseline)
	if actual < baseline+20*simulatedQueries/50 {
		t.Errorf("answered in time: got %d of %d, want at least %d", actual, 20*simulatedQueries, baseline+20*simulatedQueries/50)
	}
}

// TestExecutorsOfEqualNodesDetectHangingLeaf guards against nodes that each see too few queries to
// notice that one of three leaves hangs. It compares one of 76 equal nodes that each run their own
// queries with one of eight executors that run the queries for all nodes.
func TestExecutorsOfEqualNodesDetectHangingLeaf(t *testing.T) {
	configured := settings.Defaults().Forward
	configured.ExtraSlack = 190
	var members []roster.Member
	for index := range 76 {
		members = append(members, roster.Member{Name: fmt.Sprint(index), Zone: fmt.Sprint("zone-", index%4), Cores: 0.8})
	}
	assigner := executors.Assigner{EqualNodes: configured.EqualNodes}
	executorRoles := assigner.Assign(members[0], members)
	executor := share.ForExtraLoad(assigner.Assign(executorRoles.Executors[0], members), members, len(members), true).Budget(extraLoadSettings(configured))
	alone := share.ForExtraLoad(executors.Assign(members[0], members), members, len(members), true).Budget(extraLoadSettings(configured))
	baseline, actual := 0, 0
	for seed := range uint64(20) {
		baseline += newBudgetSimulation(alone, standaloneQueryInterval, hangAtFirstLeaf, seed).run()
		actual += newBudgetSimulation(executor, executorQueryInterval, hangAtFirstLeaf, seed).run()
	}
	late, lateBaseline := 20*simulatedQueries-actual, 20*simulatedQueries-baseline
	t.Logf("late: %d of %d, and %d where each node runs its own queries", late, 20*simulatedQueries, lateBaseline)
	if 4*late > lateBaseline || lateBaseline == 0 {
		t.Errorf("late: got %d of %d, want at most a quarter of the %d where each node runs its own queries, and those above 0", late, 20*simulatedQueries, lateBaseline)
	}
}
