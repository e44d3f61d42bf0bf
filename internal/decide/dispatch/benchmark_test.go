package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// wideTopology has 760 shards with 2 replicas each on 152 leaves of 16 slots.
func wideTopology() Topology {
	const shards, leaves = 760, 152
	snapshot := catalog.Snapshot{Epoch: 1, Version: 1}
	topology := Topology{Partitions: []catalog.Partition{{Epoch: 1, Shards: shards}}}
	for index := range leaves {
		held := leaf.Holding{Snapshot: snapshot}
		for shard := range shards {
			if shard%leaves == index || (shard+leaves/2)%leaves == index {
				held.Shards = append(held.Shards, shard)
			}
		}
		topology.Leaves = append(topology.Leaves, Leaf{
			Address: address(index), Zone: string(rune('a' + index%4)), BootID: "1", Usable: true, Slots: 16,
			Holdings: []leaf.Holding{held},
		})
	}
	return topology
}

func wideDispatcher() *Dispatcher {
	config := DefaultConfig()
	config.Zone = "a"
	d := New(config, rand.New(rand.NewPCG(1, 2)))
	d.SetTopology(0, wideTopology())
	return d
}

func wideQuery(id QueryID, now Time) Query {
	class := catalog.Class{Name: "sweep", Priority: 1, HedgePercentile: 0.95, ExtraLoad: 0.03, Repeatable: true}
	return Query{ID: id, Class: class, Deadline: now + time.Second, MinimumCoverage: 1}
}

// BenchmarkSubmit760 measures the choice of a leaf for each of 760 shards.
func BenchmarkSubmit760(b *testing.B) {
	d := wideDispatcher()
	b.ReportAllocs()
	now := Time(0)
	for id := QueryID(1); b.Loop(); id++ {
		now += time.Millisecond
		actions := d.Submit(now, wideQuery(id, now))
		b.StopTimer()
		finishAll(b, d, now, actions)
		b.StartTimer()
	}
}

// BenchmarkQuery760 measures a whole query: 760 choices, their replies and the Finish.
func BenchmarkQuery760(b *testing.B) {
	d := wideDispatcher()
	b.ReportAllocs()
	now := Time(0)
	for id := QueryID(1); b.Loop(); id++ {
		now += time.Millisecond
		finishAll(b, d, now, d.Submit(now, wideQuery(id, now)))
	}
}

// finishAll replies to all sends, including those that follow, 500 µs after now.
func finishAll(b *testing.B, d *Dispatcher, now Time, actions []Action) {
	load := leaf.LoadSummary{State: leaf.StateServing, Slots: 16, SlotsBusy: 4}
	finished := false
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action := action.(type) {
		case Send:
			reply := Reply{Shard: action.Shard, Snapshot: action.Snapshot, BootID: "1", Load: load}
			actions = append(actions, d.Reply(now+500*time.Microsecond, action.Attempt, reply)...)
		case Finish:
			finished = action.Outcome == OutcomeAnswered
		}
	}
	if !finished {
		b.Fatal("got a query without an answer, want OutcomeAnswered")
	}
}
