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

// player plays random events to a Dispatcher, in virtual time: requests of
// several kinds, leaves that answer, refuse, fail, restart or fall silent, and
// changes of the topology. It uses the exported methods only.
type player struct {
	d        *Dispatcher
	random   *rand.Rand
	record   *recorder
	mood     mood
	now      Time
	topology Topology
	leaves   []*playedLeaf
	open     []*playedAttempt
	done     []AttemptID // reported already
	version  uint64
	lastID   QueryID
	submitAt Time
	changeAt Time
	reportAt Time
}

// playedLeaf is one emulated leaf.
type playedLeaf struct {
	listed  Leaf
	missing bool // not listed by the topology
	boot    int
	slow    float64
	running int
	// draining is set once the leaf said so, until the next stretch.
	draining bool
}

// playedAttempt is an attempt on its way, with the end that it will have.
type playedAttempt struct {
	send    Send
	due     Time
	end     int
	aborted bool
	leaf    *playedLeaf
}

// The ends of attempts.
const (
	endReply = iota
	endCrossed
	endRefused
	endFailed
	endSilent
)

// mood is how a stretch of events goes. The shares are of all attempts.
type mood struct {
	name     string
	arrival  time.Duration // mean time between two requests
	change   time.Duration // mean time between two changes of the topology
	refused  float64
	failed   float64
	silent   float64
	slowness float64 // of a third of the leaves
}

var moods = []mood{
	{name: "calm", arrival: 3 * time.Millisecond, change: time.Second, refused: 0.01, failed: 0.01, slowness: 1},
	{name: "slow", arrival: 2 * time.Millisecond, change: 500 * time.Millisecond, refused: 0.01, silent: 0.01, slowness: 12},
	{name: "burst", arrival: 800 * time.Microsecond, change: 300 * time.Millisecond, refused: 0.02, failed: 0.01, slowness: 2},
	{name: "losses", arrival: 3 * time.Millisecond, change: 200 * time.Millisecond, refused: 0.02, failed: 0.3, slowness: 1},
	{name: "churn", arrival: 2 * time.Millisecond, change: 6 * time.Millisecond, refused: 0.05, failed: 0.05, slowness: 3},
	{name: "refusals", arrival: 2 * time.Millisecond, change: 100 * time.Millisecond, refused: 0.35, failed: 0.02, slowness: 1},
	{name: "silence", arrival: 4 * time.Millisecond, change: 300 * time.Millisecond, failed: 0.02, silent: 0.25, slowness: 4},
}

const (
	playedLeaves  = 8
	playedService = 5 * time.Millisecond
	playedSilence = 300 * time.Millisecond
)

func newPlayer(config Config, seed uint64, record *recorder) *player {
	p := &player{
		d:       New(config, rand.New(rand.NewPCG(seed, 1))),
		random:  rand.New(rand.NewPCG(seed, 2)),
		record:  record,
		version: 1,
	}
	for index := range playedLeaves {
		made := &playedLeaf{slow: 1, listed: Leaf{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 7000),
			Zone:    string(rune('a' + index%3)),
			Usable:  true,
			Slots:   1 + index%4,
		}}
		p.leaves = append(p.leaves, made)
		p.hold(index, 1)
	}
	p.leaves[6].listed.Standby = true
	p.leaves[7].listed.Canary = true
	return p
}

// hold lets the leaf hold the versions, for a partition of four and one of six.
func (p *player) hold(index int, versions ...uint64) {
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
	p.leaves[index].listed.Holdings = holdings
}

// setMood starts a stretch of events.
func (p *player) setMood(next int) {
	p.mood = moods[next%len(moods)]
	for index, one := range p.leaves {
		one.slow = 1
		if (index+next)%3 == 0 {
			one.slow = p.mood.slowness
		}
		one.missing = false
		one.listed.Usable = true
		one.listed.Standby = index == 6
		one.listed.Canary = index == 7
		if one.draining {
			one.boot++
			one.draining = false
		}
		p.hold(index, p.version)
	}
	p.topology.Stopped = false
	p.topology.Concurrency = 0
	if next%4 == 3 {
		p.topology.Concurrency = 4
	}
	p.d.SetProbeInterval(time.Duration(100+100*(next%3)) * time.Millisecond)
	p.list()
}

// list hands the topology over.
func (p *player) list() {
	listed := p.topology
	listed.Revision++
	p.topology.Revision++
	listed.Partitions = []catalog.Partition{{Epoch: 1, Shards: 4}, {Epoch: 2, Shards: 6}}
	for _, one := range p.leaves {
		if !one.missing {
			one.listed.BootID = fmt.Sprintf("%s-%d", one.listed.Address.Addr(), one.boot)
			listed.Leaves = append(listed.Leaves, one.listed)
		}
	}
	p.perform(fmt.Sprintf("topology %d", listed.Revision), p.d.SetTopology(p.now, listed))
}

// step plays the event that is due next.
func (p *player) step() {
	first := p.submitAt
	event := p.submit
	consider := func(at Time, then func()) {
		if at < first {
			first, event = at, then
		}
	}
	consider(p.changeAt, p.change)
	consider(p.reportAt, p.observe)
	if at, known := p.d.NextTick(); known {
		consider(at, p.tick)
	}
	for _, one := range p.open {
		consider(one.due, func() { p.end(one) })
	}
	p.now = max(p.now, first)
	event()
}

func (p *player) tick() {
	p.perform("tick", p.d.Tick(p.now))
}

// after draws a time with the given mean.
func (p *player) after(mean time.Duration) Time {
	return p.now + time.Duration(p.random.ExpFloat64()*float64(mean)) + 1
}

func (p *player) observe() {
	p.reportAt = p.after(20 * time.Millisecond)
	one := p.leaves[p.random.IntN(len(p.leaves))]
	p.perform(fmt.Sprintf("observe %s", one.listed.Address), p.d.Observe(p.now, one.listed.Address, p.load(one)))
}

func (p *player) load(one *playedLeaf) leaf.LoadSummary {
	busy := min(one.running+p.random.IntN(2), one.listed.Slots)
	load := leaf.LoadSummary{State: leaf.StateServing, Slots: one.listed.Slots, SlotsBusy: busy, Queue: max(one.running-one.listed.Slots, 0)}
	if p.random.IntN(3) == 0 {
		load.Pace = 80 + p.random.IntN(300)
	}
	switch p.random.IntN(800) {
	case 0:
		load.State = leaf.StateDraining
		one.draining = true
	case 1:
		load.State = leaf.StateCold
	}
	return load
}

// change plays one change of the topology, or of what the node's rules allow.
func (p *player) change() {
	p.changeAt = p.after(p.mood.change)
	index := p.random.IntN(len(p.leaves))
	one := p.leaves[index]
	switch p.random.IntN(14) {
	case 0, 1:
		one.boot++
		one.listed.Cold = p.random.IntN(2) == 0
	case 2, 3:
		one.listed.Usable = !one.listed.Usable
	case 4:
		one.missing = !one.missing
	case 5:
		one.listed.Standby = !one.listed.Standby
	case 6:
		one.listed.ColdUntil = p.now + 200*time.Millisecond
		one.listed.ColdRate = float64(p.random.IntN(60))
	case 7:
		one.listed.Slots = 1 + p.random.IntN(4)
	case 8, 9:
		p.roll()
	case 10:
		p.topology.Stopped = !p.topology.Stopped
	case 11:
		p.setBounds()
	default:
		p.allowCanary(one)
	}
	p.list()
}

// roll lets some leaves take a newer version, and some give up the former one.
func (p *player) roll() {
	p.version++
	for index := range p.leaves {
		switch p.random.IntN(3) {
		case 0:
			p.hold(index, p.version)
		case 1:
			p.hold(index, p.version-1, p.version)
		}
	}
}

// setBounds changes the bounds of the budgets by shard, from one part of a
// token up to several.
func (p *player) setBounds() {
	scale := p.random.Float64()
	p.d.ResizeBudgets(func(shard int) hedge.Bounds {
		if shard%2 == 0 {
			return hedge.Bounds{Initial: 0.4, Capacity: 0.6 + scale, Reserve: 0.15, Refill: 3}
		}
		return hedge.Bounds{Initial: 2, Capacity: 2 + 6*scale, Reserve: 0.5, Refill: 8}
	})
}

func (p *player) allowCanary(one *playedLeaf) {
	shard := p.random.IntN(6)
	switch p.random.IntN(5) {
	case 0:
		one.listed.Canary = !one.listed.Canary
		one.listed.WarmAt = p.now + 20*time.Millisecond
	case 1:
		p.d.SetAllowance(shard, nil)
	case 2:
		p.d.Burst(shard)
	default:
		bounds := rollout.Bounds{Ratio: 0.4, Slack: 20}
		p.d.SetAllowance(shard, rollout.NewAllowance(bounds, 1, p.now+time.Second, p.random.Float64))
		p.d.Grant(shard, p.now+500*time.Millisecond)
	}
}

// perform records an event and takes its actions over.
func (p *player) perform(event string, actions []Action) {
	p.record.event(p.now, event, actions, p.d)
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			p.take(action)
		case Abort:
			p.abort(action)
		}
	}
}
