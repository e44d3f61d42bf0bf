package dispatch

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// machine drives a Dispatcher with random events and checks its invariants after each event.
type machine struct {
	d             *Dispatcher
	now           Time
	topology      Topology
	queries       map[QueryID]*trackedQuery
	open          []*trackedAttempt // attempts whose end has not been reported
	attempts      map[AttemptID]*trackedAttempt
	drainingBoots map[string]bool // boot IDs that reported that they drain
	nextID        QueryID
	stopAt        Time // end of the process; zero if it is not announced
}

// trackedQuery is a submitted query with the state that the checks need.
type trackedQuery struct {
	Query
	finish   *Finish
	inFlight int  // attempts whose end has not been reported
	executed bool // an attempt has ended that may have executed
}

// trackedAttempt is a sent attempt with the state that the checks need.
type trackedAttempt struct {
	Send
	query    *trackedQuery
	boot     string
	aborted  bool
	answered bool // a matching reply arrived while it was wanted
}

func address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7101+index))
}

func newMachine(t *rapid.T) *machine {
	config := DefaultConfig()
	config.Zone = "a"
	config.Hedge.MinimumSamples = 1
	config.Hedge.OutstandingShare = 1
	config.Probation.ProbeInterval = time.Millisecond
	config.Budget.Initial = 10
	seed := rapid.Uint64().Draw(t, "seed")
	return &machine{
		d:             New(config, rand.New(rand.NewPCG(seed, 1))),
		queries:       make(map[QueryID]*trackedQuery),
		attempts:      make(map[AttemptID]*trackedAttempt),
		drainingBoots: make(map[string]bool),
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":   m.submit,
		"reply":    m.reply,
		"crossed":  m.replyCrossed,
		"refuse":   m.refuse,
		"fail":     m.fail,
		"cancel":   m.cancel,
		"topology": m.setTopology,
		"observe":  m.observe,
		"tick":     m.tick,
		"":         m.check,
	}
}

func (m *machine) advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 8).Draw(t, "ms")) * time.Millisecond
}

func (m *machine) submit(t *rapid.T) {
	m.advance(t)
	m.nextID++
	nonRepeatable := rapid.IntRange(0, 3).Draw(t, "once") == 0
	class := catalog.Class{Name: "sweep", Priority: rapid.IntRange(1, 3).Draw(t, "priority"), HedgePercentile: 0.5, ExtraLoad: 0.03, Repeatable: true}
	if nonRepeatable {
		class.Name, class.Repeatable = "file", false
	}
	query := Query{
		ID:              m.nextID,
		Class:           class,
		HasKey:          nonRepeatable || rapid.Bool().Draw(t, "key"),
		KeyHash:         rapid.Uint64Range(0, 11).Draw(t, "hash"),
		Deadline:        m.now + time.Duration(rapid.IntRange(1, 150).Draw(t, "deadline"))*time.Millisecond,
		MinimumCoverage: float64(rapid.IntRange(0, 4).Draw(t, "coverage")) / 4,
	}
	m.queries[query.ID] = &trackedQuery{Query: query}
	actions := m.d.Submit(m.now, query)
	if m.topology.Stopped {
		finish, ok := actions[0].(Finish)
		if len(actions) != 1 || !ok || finish.Reason != ReasonStopped || finish.Outcome != OutcomeNotRun {
			t.Fatalf("got actions %v of a stopped service, want a refusal", actions)
		}
	}
	m.perform(t, actions)
}

// takeOpenAttempt draws an open attempt and removes it from the list.
func (m *machine) takeOpenAttempt(t *rapid.T) *trackedAttempt {
	if len(m.open) == 0 {
		t.Skip("nothing in flight")
	}
	m.advance(t)
	index := rapid.IntRange(0, len(m.open)-1).Draw(t, "attempt")
	entry := m.open[index]
	m.open = slices.Delete(m.open, index, index+1)
	entry.query.inFlight--
	return entry
}

func (m *machine) load(t *rapid.T, boot string) leaf.LoadSummary {
	load := leaf.LoadSummary{State: leaf.StateServing, Slots: 3, Queue: rapid.IntRange(0, 4).Draw(t, "queue")}
	if rapid.IntRange(0, 19).Draw(t, "draining") == 0 {
		load.State = leaf.StateDraining
		m.drainingBoots[boot] = true
	}
	return load
}

func (m *machine) reply(t *rapid.T) {
	entry := m.takeOpenAttempt(t)
	entry.query.executed = true
	entry.answered = !entry.aborted && entry.query.finish == nil
	reply := Reply{Shard: entry.Shard, Snapshot: entry.Snapshot, BootID: entry.boot, Load: m.load(t, entry.boot)}
	m.perform(t, m.d.Reply(m.now, entry.Attempt, reply))
}

func (m *machine) replyCrossed(t *rapid.T) {
	entry := m.takeOpenAttempt(t)
	entry.query.executed = true
	reply := Reply{Shard: entry.Shard, Snapshot: entry.Snapshot, BootID: entry.boot}
	if rapid.Bool().Draw(t, "version") {
		reply.Snapshot.Version++
	} else {
		reply.Shard++
	}
	m.perform(t, m.d.Reply(m.now, entry.Attempt, reply))
}

func (m *machine) refuse(t *rapid.T) {
	entry := m.takeOpenAttempt(t)
	reasons := []leaf.Refusal{leaf.RefusedShed, leaf.RefusedDraining, leaf.RefusedCold, leaf.RefusedSnapshot, leaf.RefusedMoved, leaf.RefusedLate, leaf.RefusedInvalid}
	refusal := Refusal{Reason: rapid.SampledFrom(reasons).Draw(t, "reason"), BootID: entry.boot, Load: m.load(t, entry.boot)}
	if refusal.Reason == leaf.RefusedDraining {
		m.drainingBoots[entry.boot] = true
	}
	refusal.RetryAfter = time.Duration(rapid.IntRange(0, 5).Draw(t, "retry")) * time.Millisecond
	m.perform(t, m.d.Refuse(m.now, entry.Attempt, refusal))
}

func (m *machine) fail(t *rapid.T) {
	entry := m.takeOpenAttempt(t)
	failure := Failure{Sent: rapid.Bool().Draw(t, "sent"), Aborted: entry.aborted}
	failure.ConnectionClosed = failure.Sent && rapid.Bool().Draw(t, "closed")
	entry.query.executed = entry.query.executed || failure.Sent
	m.perform(t, m.d.Fail(m.now, entry.Attempt, failure))
}

func (m *machine) cancel(t *rapid.T) {
	if m.nextID == 0 {
		t.Skip("no query")
	}
	m.advance(t)
	id := QueryID(rapid.Uint64Range(1, uint64(m.nextID)).Draw(t, "query"))
	m.perform(t, m.d.Cancel(m.now, id))
	if m.queries[id].finish == nil {
		t.Fatalf("query %d has no finish after Cancel", id)
	}
}

func (m *machine) observe(t *rapid.T) {
	if len(m.topology.Leaves) == 0 {
		t.Skip("no leaf")
	}
	m.advance(t)
	listed := rapid.SampledFrom(m.topology.Leaves).Draw(t, "leaf")
	load := leaf.LoadSummary{State: leaf.StateServing, Slots: 3, SlotsBusy: rapid.IntRange(0, 3).Draw(t, "busy")}
	m.perform(t, m.d.Observe(m.now, listed.Address, load))
}

func (m *machine) setTopology(t *rapid.T) {
	m.advance(t)
	m.topology = Topology{
		Partitions:  []catalog.Partition{{Epoch: 1, Shards: 3}, {Epoch: 2, Shards: 4}},
		Concurrency: rapid.SampledFrom([]int{0, 0, 3}).Draw(t, "concurrency"),
		Stopped:     rapid.IntRange(0, 5).Draw(t, "stopped") == 0,
	}
	for index := range 5 {
		if rapid.IntRange(0, 7).Draw(t, "listed") == 0 {
			continue
		}
		listed := Leaf{
			Address: address(index),
			Zone:    string(rune('a' + index%2)),
			BootID:  fmt.Sprintf("%d-%d", index, rapid.IntRange(0, 1).Draw(t, "boot")),
			Usable:  rapid.IntRange(0, 4).Draw(t, "usable") > 0,
			Cold:    rapid.IntRange(0, 4).Draw(t, "cold") == 0,
			Slots:   rapid.IntRange(1, 3).Draw(t, "slots"),
		}
		for epoch := uint64(1); epoch <= 2; epoch++ {
			held := rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 4, rapid.ID[int]).Draw(t, "shards")
			slices.Sort(held)
			snapshot := catalog.Snapshot{Epoch: epoch, Version: rapid.Uint64Range(1, 2).Draw(t, "version")}
			listed.Holdings = append(listed.Holdings, leaf.Holding{Snapshot: snapshot, Shards: held})
		}
		m.topology.Leaves = append(m.topology.Leaves, listed)
	}
	m.perform(t, m.d.SetTopology(m.now, m.topology))
}

func (m *machine) tick(t *rapid.T) {
	if at, ok := m.d.NextTick(); ok && rapid.Bool().Draw(t, "due") {
		m.now = max(m.now, at)
	} else {
		m.advance(t)
	}
	m.perform(t, m.d.Tick(m.now))
	for range 100 {
		at, ok := m.d.NextTick()
		if !ok || at > m.now {
			return
		}
		m.perform(t, m.d.Tick(m.now))
	}
	t.Fatal("got a NextTick that is due after 100 calls of Tick, want a later one")
}

// stop announces the end of the process, at most once.
func (m *machine) stop(t *rapid.T) {
	if m.stopAt > 0 || rapid.IntRange(0, 3).Draw(t, "stop") > 0 {
		t.Skip("no stop now")
	}
	m.advance(t)
	m.stopAt = m.now + time.Duration(rapid.IntRange(1, 150).Draw(t, "until stop"))*time.Millisecond
	m.perform(t, m.d.Stop(m.now, m.stopAt))
}

// deadline returns the time by which a query must end.
func (m *machine) deadline(query *trackedQuery) Time {
	if m.stopAt > 0 {
		return min(query.Deadline, m.stopAt)
	}
	return query.Deadline
}

// The invariants of the Dispatcher must hold after each event of random schedules, and no query,
// attempt or waiting work may be left over after the last event.
func TestInvariantsUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		m.setTopology(t)
		t.Repeat(m.actions())
		m.endAll(t)
	})
}

// The invariants must also hold while the process stops, and every query must end before it does.
func TestInvariantsUnderPlannedStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		m.setTopology(t)
		actions := m.actions()
		actions["stop"] = m.stop
		t.Repeat(actions)
		m.endAll(t)
	})
}
