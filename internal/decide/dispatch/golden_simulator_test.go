package dispatch

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/leaf"
)

// simulator drives a Dispatcher with random events in virtual time: requests of several kinds,
// leaves that answer, refuse, fail, restart or stop answering, and changes of the topology. It uses
// only exported methods.
type simulator struct {
	d        *Dispatcher
	random   *rand.Rand
	record   *recorder
	scenario scenario
	now      Time
	topology Topology
	leaves   []*simulatedLeaf
	open     []*simulatedAttempt
	done     []AttemptID // reported before
	version  uint64
	lastID   QueryID
	submitAt Time
	changeAt Time
	reportAt Time
}

// simulatedLeaf is the state of an emulated leaf.
type simulatedLeaf struct {
	listed  Leaf
	missing bool // not listed by the topology
	boot    int
	slow    float64
	running int
	// draining is set once the leaf has reported it, until the next scenario.
	draining bool
}

// simulatedAttempt is an attempt in flight with its predetermined end.
type simulatedAttempt struct {
	send    Send
	due     Time
	end     int
	aborted bool
	leaf    *simulatedLeaf
}

// The ends of attempts.
const (
	endReply = iota
	endCrossed
	endRefused
	endFailed
	endSilent
)

// scenario sets the rates of a block of events. The shares refer to all attempts.
type scenario struct {
	name     string
	arrival  time.Duration // mean time between two requests
	change   time.Duration // mean time between two changes of the topology
	refused  float64
	failed   float64
	silent   float64
	slowness float64 // of a third of the leaves
}

var scenarios = []scenario{
	{name: "calm", arrival: 3 * time.Millisecond, change: time.Second, refused: 0.01, failed: 0.01, slowness: 1},
	{name: "slow", arrival: 2 * time.Millisecond, change: 500 * time.Millisecond, refused: 0.01, silent: 0.01, slowness: 12},
	{name: "burst", arrival: 800 * time.Microsecond, change: 300 * time.Millisecond, refused: 0.02, failed: 0.01, slowness: 2},
	{name: "losses", arrival: 3 * time.Millisecond, change: 200 * time.Millisecond, refused: 0.02, failed: 0.3, slowness: 1},
	{name: "churn", arrival: 2 * time.Millisecond, change: 6 * time.Millisecond, refused: 0.05, failed: 0.05, slowness: 3},
	{name: "refusals", arrival: 2 * time.Millisecond, change: 100 * time.Millisecond, refused: 0.35, failed: 0.02, slowness: 1},
	{name: "silence", arrival: 4 * time.Millisecond, change: 300 * time.Millisecond, failed: 0.02, silent: 0.25, slowness: 4},
}

const (
	simulatedLeafCount   = 8
	simulatedServiceTime = 5 * time.Millisecond
	simulatedSilence     = 300 * time.Millisecond
)

func newSimulator(config Config, seed uint64, record *recorder) *simulator {
	s := &simulator{
		d:       New(config, rand.New(rand.NewPCG(seed, 1))),
		random:  rand.New(rand.NewPCG(seed, 2)),
		record:  record,
		version: 1,
	}
	for index := range simulatedLeafCount {
		l := &simulatedLeaf{slow: 1, listed: Leaf{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 7000),
			Zone:    string(rune('a' + index%3)),
			Usable:  true,
			Slots:   1 + index%4,
		}}
		s.leaves = append(s.leaves, l)
		s.setHoldings(index, 1)
	}
	s.leaves[6].listed.Standby = true
	s.leaves[7].listed.Canary = true
	return s
}

// setHoldings makes the leaf hold the versions, of a partition with four shards or one with six.
func (s *simulator) setHoldings(index int, versions ...uint64) {
	holdings := make([]leaf.Holding, 0, 2*len(versions))
	for _, version := range versions {
		epoch, shards := uint64(1), 4
		if version%5 == 0 {
			epoch, shards = 2, 6
		}
		held := []int{index % shards, (index + 1) % shards, (index + 3) % shards}
		slices.Sort(held)
		holdings = append(holdings, leaf.Holding{Snapshot: catalog.Snapshot{Epoch: epoch, Version: version}, Shards: held})
	}
	s.leaves[index].listed.Holdings = holdings
}

// startScenario resets the leaves and starts a block of events.
func (s *simulator) startScenario(next int) {
	s.scenario = scenarios[next%len(scenarios)]
	for index, l := range s.leaves {
		l.slow = 1
		if (index+next)%3 == 0 {
			l.slow = s.scenario.slowness
		}
		l.missing = false
		l.listed.Usable = true
		l.listed.Standby = index == 6
		l.listed.Canary = index == 7
		if l.draining {
			l.boot++
			l.draining = false
		}
		s.setHoldings(index, s.version)
	}
	s.topology.Stopped = false
	s.topology.Concurrency = 0
	if next%4 == 3 {
		s.topology.Concurrency = 4
	}
	s.d.SetProbeInterval(time.Duration(100+100*(next%3)) * time.Millisecond)
	s.publishTopology()
}

// publishTopology passes the current topology to the Dispatcher.
func (s *simulator) publishTopology() {
	listed := s.topology
	listed.Revision++
	s.topology.Revision++
	listed.Partitions = []catalog.Partition{{Epoch: 1, Shards: 4}, {Epoch: 2, Shards: 6}}
	for _, l := range s.leaves {
		if !l.missing {
			l.listed.BootID = fmt.Sprintf("%s-%d", l.listed.Address.Addr(), l.boot)
			listed.Leaves = append(listed.Leaves, l.listed)
		}
	}
	s.perform(fmt.Sprintf("topology %d", listed.Revision), s.d.SetTopology(s.now, listed))
}

// step performs the event that is due next.
func (s *simulator) step() {
	first := s.submitAt
	event := s.submit
	consider := func(at Time, then func()) {
		if at < first {
			first, event = at, then
		}
	}
	consider(s.changeAt, s.change)
	consider(s.reportAt, s.observe)
	if at, ok := s.d.NextTick(); ok {
		consider(at, s.tick)
	}
	for _, candidate := range s.open {
		consider(candidate.due, func() { s.end(candidate) })
	}
	s.now = max(s.now, first)
	event()
}

func (s *simulator) tick() {
	s.perform("tick", s.d.Tick(s.now))
}

// after draws a time with the given mean distance from now.
func (s *simulator) after(mean time.Duration) Time {
	return s.now + time.Duration(s.random.ExpFloat64()*float64(mean)) + 1
}

func (s *simulator) observe() {
	s.reportAt = s.after(20 * time.Millisecond)
	l := s.leaves[s.random.IntN(len(s.leaves))]
	s.perform(fmt.Sprintf("observe %s", l.listed.Address), s.d.Observe(s.now, l.listed.Address, s.load(l)))
}

func (s *simulator) load(l *simulatedLeaf) leaf.LoadSummary {
	busy := min(l.running+s.random.IntN(2), l.listed.Slots)
	load := leaf.LoadSummary{State: leaf.StateServing, Slots: l.listed.Slots, SlotsBusy: busy, Queue: max(l.running-l.listed.Slots, 0)}
	if s.random.IntN(3) == 0 {
		load.Pace = 80 + s.random.IntN(300)
	}
	switch s.random.IntN(800) {
	case 0:
		load.State = leaf.StateDraining
		l.draining = true
	case 1:
		load.State = leaf.StateCold
	}
	return load
}

// change performs a change of the topology, or of the node's policies.
func (s *simulator) change() {
	s.changeAt = s.after(s.scenario.change)
	index := s.random.IntN(len(s.leaves))
	l := s.leaves[index]
	switch s.random.IntN(14) {
	case 0, 1:
		l.boot++
		l.listed.Cold = s.random.IntN(2) == 0
	case 2, 3:
		l.listed.Usable = !l.listed.Usable
	case 4:
		l.missing = !l.missing
	case 5:
		l.listed.Standby = !l.listed.Standby
	case 6:
		l.listed.ColdUntil = s.now + 200*time.Millisecond
		l.listed.ColdRate = float64(s.random.IntN(60))
	case 7:
		l.listed.Slots = 1 + s.random.IntN(4)
	case 8, 9:
		s.rollOut()
	case 10:
		s.topology.Stopped = !s.topology.Stopped
	case 11:
		s.setBounds()
	default:
		s.allowCanary(l)
	}
	s.publishTopology()
}

// rollOut makes some leaves load a newer version, of which some drop the previous one.
func (s *simulator) rollOut() {
	s.version++
	for index := range s.leaves {
		switch s.random.IntN(3) {
		case 0:
			s.setHoldings(index, s.version)
		case 1:
			s.setHoldings(index, s.version-1, s.version)
		}
	}
}

// setBounds changes the bounds of the budgets by shard, from a fraction of a token up to several
// tokens.
func (s *simulator) setBounds() {
	scale := s.random.Float64()
	s.d.ResizeBudgets(func(shard int) hedge.Bounds {
		if shard%2 == 0 {
			return hedge.Bounds{Initial: 0.4, Capacity: 0.6 + scale, Reserve: 0.15, RefillRate: 3}
		}
		return hedge.Bounds{Initial: 2, Capacity: 2 + 6*scale, Reserve: 0.5, RefillRate: 8}
	})
}

func (s *simulator) allowCanary(l *simulatedLeaf) {
	shard := s.random.IntN(6)
	switch s.random.IntN(5) {
	case 0:
		l.listed.Canary = !l.listed.Canary
		l.listed.WarmAt = s.now + 20*time.Millisecond
	case 1:
		s.d.SetAllowance(shard, nil)
	case 2:
		s.d.Burst(shard)
	default:
		bounds := rollout.Bounds{Ratio: 0.4, Slack: 20}
		s.d.SetAllowance(shard, rollout.NewAllowance(bounds, 1, s.now+time.Second, s.random.Float64))
		s.d.Grant(shard, s.now+500*time.Millisecond)
	}
}

// perform records an event and its actions, and executes the actions.
func (s *simulator) perform(event string, actions []Action) {
	s.record.event(s.now, event, actions, s.d)
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			s.acceptSend(action)
		case Abort:
			s.abort(action)
		}
	}
}
