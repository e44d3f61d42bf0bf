package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// extraShare is the extra load that the classes of these tests allow.
const extraShare = 0.03

var firstSnapshot = catalog.Snapshot{Epoch: 1, Version: 1}

// rig drives a Dispatcher for a shard with some replicas. Replies take the latency that the test
// sets for each leaf.
type rig struct {
	*testing.T
	d               *Dispatcher
	now             Time
	topology        Topology
	latency         []time.Duration // by leaf
	open            []Send
	sent            []int // by leaf
	aborted         []AttemptID
	abortedOverdue  []bool      // Abort.Overdue of the aborted attempts
	unanswered      []AttemptID // attempts that get no reply
	finishes        map[QueryID]Finish
	nextID          QueryID
	hedgePercentile float64
	modifyQuery     func(*Query) // applied to each query; nil for no change
}

// withoutHedges requires more latency samples than any test produces.
func withoutHedges(config *Config) { config.Hedge.MinimumSamples = math.MaxInt }

// withoutProbes sets a probe interval longer than any test.
func withoutProbes(config *Config) { config.Probation.ProbeInterval = time.Hour }

// newRig returns a rig with the given number of replicas and the default configuration as modified
// by change.
func newRig(t *testing.T, replicas int, change func(*Config)) *rig {
	config := DefaultConfig()
	if change != nil {
		change(&config)
	}
	r := &rig{T: t, d: New(config, rand.New(rand.NewPCG(1, 2))), finishes: make(map[QueryID]Finish), sent: make([]int, replicas), hedgePercentile: 0.95}
	r.topology.Partitions = []catalog.Partition{{Epoch: 1, Shards: 1}}
	for index := range replicas {
		r.latency = append(r.latency, 10*time.Millisecond)
		r.topology.Leaves = append(r.topology.Leaves, Leaf{
			Address: address(index), Usable: true, BootID: "1", Slots: 2,
			Holdings: []leaf.Holding{{Snapshot: firstSnapshot, Shards: []int{0}}},
		})
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	return r
}

func (r *rig) perform(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			r.open = append(r.open, action)
			r.sent[r.leafOf(action)]++
		case Abort:
			r.aborted = append(r.aborted, action.Attempt)
			r.abortedOverdue = append(r.abortedOverdue, action.Overdue)
			index := slices.IndexFunc(r.open, func(s Send) bool { return s.Attempt == action.Attempt })
			r.open = slices.Delete(r.open, index, index+1)
			r.perform(r.d.Fail(r.now, action.Attempt, Failure{Sent: true, Aborted: true}))
		case Finish:
			r.finishes[action.Query] = action
		}
	}
}

// leafOf returns the index of the leaf of a send.
func (r *rig) leafOf(send Send) int {
	return slices.IndexFunc(r.topology.Leaves, func(l Leaf) bool { return l.Address == send.Leaf })
}

// submit sends a query with a deadline of 200 ms that may be hedged.
func (r *rig) submit(priority int) QueryID {
	r.nextID++
	class := catalog.Class{Name: string(rune('0' + priority)), Priority: priority, HedgePercentile: r.hedgePercentile, ExtraLoad: extraShare, Repeatable: true}
	query := Query{ID: r.nextID, Class: class, Deadline: r.now + 200*time.Millisecond, MinimumCoverage: 1}
	if r.modifyQuery != nil {
		r.modifyQuery(&query)
	}
	r.perform(r.d.Submit(r.now, query))
	return r.nextID
}

// run advances the time in steps of a millisecond.
func (r *rig) run(length time.Duration) {
	for end := r.now + length; r.now < end; {
		r.now += time.Millisecond
		for _, send := range slices.Clone(r.open) {
			sentAt := r.d.attempts.find(send.Attempt)
			due := sentAt != nil && r.now-sentAt.sentAt >= r.latency[r.leafOf(send)]
			if due && !slices.Contains(r.unanswered, send.Attempt) {
				r.reply(send)
			}
		}
		if at, ok := r.d.NextTick(); ok && at <= r.now {
			r.perform(r.d.Tick(r.now))
		}
	}
}

func (r *rig) reply(send Send) {
	r.open = slices.DeleteFunc(r.open, func(s Send) bool { return s.Attempt == send.Attempt })
	load := leaf.LoadSummary{State: leaf.StateServing, Slots: 2}
	r.perform(r.d.Reply(r.now, send.Attempt, Reply{Shard: send.Shard, Snapshot: send.Snapshot, BootID: "1", Load: load}))
}

func (r *rig) refuse(reason leaf.Refusal) {
	send := r.open[0]
	r.open = r.open[1:]
	r.perform(r.d.Refuse(r.now, send.Attempt, Refusal{Reason: reason, BootID: "1"}))
}

// submitEvery10ms submits queries 10 ms apart.
func (r *rig) submitEvery10ms(queries int) {
	for range queries {
		r.submit(1)
		r.run(10 * time.Millisecond)
	}
}
