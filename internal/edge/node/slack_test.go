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

// slackPlay is one node whose queries meet leaves that hang now and then.
type slackPlay struct {
	// pause is the time between two queries.
	pause time.Duration
	// slow reports whether an attempt at a leaf hangs.
	slow       func(random *rand.Rand, leaf netip.AddrPort) bool
	random     *rand.Rand
	dispatcher *dispatch.Dispatcher
	now        time.Duration
	ends       map[dispatch.AttemptID]time.Duration
	sends      map[dispatch.AttemptID]dispatch.Send
	begun      map[dispatch.QueryID]time.Duration
	inTime     int
}

const (
	slackObjective = 200 * time.Millisecond
	slackQueries   = 60
	// executorPause is the pause between two queries of one of eight executors, and
	// alonePause of one of 76 nodes that each run their own.
	executorPause = time.Second / 6
	alonePause    = 76 * executorPause / 8
	// hanging is the share of attempts that hang.
	hanging = 0.35
)

// anyHangs lets attempts at all leaves hang by chance, and oneHangs all at one leaf of
// three.
func anyHangs(random *rand.Rand, _ netip.AddrPort) bool { return random.Float64() < hanging }

func oneHangs(_ *rand.Rand, leaf netip.AddrPort) bool { return leaf.Port() == 1 }

func newSlackPlay(bounds hedge.Bounds, pause time.Duration, slow func(*rand.Rand, netip.AddrPort) bool, seed uint64) *slackPlay {
	configured := settings.Example()
	p := &slackPlay{
		pause: pause, slow: slow,
		random: rand.New(rand.NewPCG(seed, 1)), ends: make(map[dispatch.AttemptID]time.Duration),
		sends: make(map[dispatch.AttemptID]dispatch.Send), begun: make(map[dispatch.QueryID]time.Duration),
	}
	p.dispatcher = dispatch.New(dispatchConfig(configured), rand.New(rand.NewPCG(seed, 2)))
	p.dispatcher.ResizeBudgets(func(int) hedge.Bounds { return bounds })
	topology := dispatch.Topology{Partitions: []catalog.Partition{{Epoch: registry.Snapshot.Epoch, Shards: 1}}}
	for number := range 3 {
		topology.Leaves = append(topology.Leaves, dispatch.Leaf{
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(number+1)), BootID: fmt.Sprint(number), Usable: true, Slots: 4,
			Holdings: []leaf.Holding{{Snapshot: registry.Snapshot, Shards: []int{0}}},
		})
	}
	p.perform(p.dispatcher.SetTopology(p.now, topology))
	return p
}

func (p *slackPlay) perform(actions []dispatch.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case dispatch.Send:
			took := 20 * time.Millisecond
			if p.slow(p.random, action.Leaf) {
				took = time.Second
			}
			p.ends[action.Attempt], p.sends[action.Attempt] = p.now+took, action
		case dispatch.Abort:
			delete(p.ends, action.Attempt)
			p.perform(p.dispatcher.Fail(p.now, action.Attempt, dispatch.Failure{Sent: true, Aborted: true}))
		case dispatch.Finish:
			if len(action.Answered) == 1 && p.now-p.begun[action.Query] <= slackObjective {
				p.inTime++
			}
		}
	}
}

// run plays all queries and returns how many were answered within the objective.
func (p *slackPlay) run() int {
	class := catalog.Class{Name: "sweep", Priority: 1, HedgePercentile: 0.9, ExtraLoad: 0.2, Repeatable: true}
	next, count := time.Duration(0), 0
	for ; p.now < slackQueries*p.pause+time.Second; p.now += time.Millisecond {
		if count < slackQueries && p.now >= next {
			count++
			next += p.pause
			id := dispatch.QueryID(count)
			p.begun[id] = p.now
			p.perform(p.dispatcher.Submit(p.now, dispatch.Query{
				ID: id, Class: class, Shards: []int{0}, Deadline: p.now + 800*time.Millisecond, Objective: p.now + slackObjective,
				HedgeDelay: 60 * time.Millisecond, MaximumSends: 2, MinimumCoverage: 1,
			}))
		}
		for _, id := range slices.Sorted(maps.Keys(p.ends)) {
			if end, open := p.ends[id]; open && end <= p.now {
				delete(p.ends, id)
				sent := p.sends[id]
				p.perform(p.dispatcher.Reply(p.now, id, dispatch.Reply{Shard: 0, Snapshot: sent.Snapshot, BootID: sent.BootID}))
			}
		}
		if at, wanted := p.dispatcher.NextTick(); wanted && at <= p.now {
			p.perform(p.dispatcher.Tick(p.now))
		}
	}
	return p.inTime
}

// TestSlackOfExecutorsReachesCallers plays a shard whose leaves hang in a third of the
// attempts, at one of eight executors with six queries a second: with its part of the
// slack it answers more of them in time than with an equal part of half of it.
func TestSlackOfExecutorsReachesCallers(t *testing.T) {
	from := settings.Defaults().Forward
	from.ExtraSlack = 190
	var members []roster.Member
	for index := range 75 {
		member := roster.Member{Name: fmt.Sprint(index), Cores: 0.2}
		if index < 8 {
			member.Cores = 0.8
		}
		members = append(members, member)
	}
	roles := executors.Assign(members[0], members)
	half := share.Of(roles, members, len(members)).Budget(extraLoad(from))
	own := share.OfSlack(roles, members, len(members), true).Budget(extraLoad(from))
	before, now := 0, 0
	for seed := range uint64(20) {
		before += newSlackPlay(half, executorPause, anyHangs, seed).run()
		now += newSlackPlay(own, executorPause, anyHangs, seed).run()
	}
	t.Logf("answered in time: %d of %d, with half of the slack %d", now, 20*slackQueries, before)
	if now < before+20*slackQueries/50 {
		t.Errorf("answered in time: %d of %d, with half of the slack %d", now, 20*slackQueries, before)
	}
}

// TestExecutorsAmongEqualsReachCallers plays a shard of which one leaf of three hangs,
// at one of 76 equal nodes that each run their own queries, and at one of eight that
// run them for all: the latter meets the leaf often enough to know it.
func TestExecutorsAmongEqualsReachCallers(t *testing.T) {
	from := settings.Defaults().Forward
	from.ExtraSlack = 190
	var members []roster.Member
	for index := range 76 {
		members = append(members, roster.Member{Name: fmt.Sprint(index), Zone: fmt.Sprint("zone-", index%4), Cores: 0.8})
	}
	fleet := executors.Assigner{EqualNodes: from.EqualNodes}
	chosen := fleet.Assign(members[0], members)
	executor := share.OfSlack(fleet.Assign(chosen.Executors[0], members), members, len(members), true).Budget(extraLoad(from))
	alone := share.OfSlack(executors.Assign(members[0], members), members, len(members), true).Budget(extraLoad(from))
	before, now := 0, 0
	for seed := range uint64(20) {
		before += newSlackPlay(alone, alonePause, oneHangs, seed).run()
		now += newSlackPlay(executor, executorPause, oneHangs, seed).run()
	}
	late, lateBefore := 20*slackQueries-now, 20*slackQueries-before
	t.Logf("late: %d of %d, where each runs its own %d", late, 20*slackQueries, lateBefore)
	if 4*late > lateBefore || lateBefore == 0 {
		t.Errorf("late: %d of %d, where each runs its own %d", late, 20*slackQueries, lateBefore)
	}
}
