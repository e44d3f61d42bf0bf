package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// shared is a store with one key, which some nodes write under its revision. The
// revision never falls.
type modelStore struct {
	present  bool
	record   Record
	revision uint64
}

func (s *modelStore) currentRevision() uint64 {
	if s.present {
		return s.revision
	}
	return 0
}

// write does a change, unless another came before.
func (s *modelStore) write(change Change) bool {
	if change.Former != s.currentRevision() {
		return false
	}
	s.present, s.record = !change.Remove, change.Record
	s.revision++
	return true
}

// fleet is some nodes in front of one store.
type fleet struct {
	*rapid.T
	store   modelStore
	tables  []*Table
	now     time.Duration
	trials  int // that began
	crashes int
}

// flush writes what one node has to tell; the store may come before it.
func (f *fleet) flush(node int) {
	change, pending := f.tables[node].Change(crashingContent)
	if !pending {
		return
	}
	if f.store.write(change) {
		f.tables[node].Written(f.now, change, f.store.revision)
		return
	}
	f.readStore(node)
}

// hear lets one node know what the store has.
func (f *fleet) readStore(node int) {
	if f.store.present {
		f.tables[node].Set(f.now, crashingContent, Known{Record: f.store.record, Revision: f.store.revision})
		return
	}
	f.tables[node].Remove(f.now, crashingContent, f.store.revision)
}

// leaf returns the crash of a leaf, which starts again under its id each time.
func (f *fleet) newCrash() []Crash {
	f.crashes++
	return []Crash{{Leaf: fmt.Sprint("leaf@", f.crashes), Request: fmt.Sprint(f.crashes)}}
}

// send sends the request to one node: leaves end under it, unless it is refused.
func (f *fleet) sendRequest(node int) {
	table := f.tables[node]
	switch decision := table.Admit(f.now, crashingContent); decision.Verdict {
	case Run:
		table.Suspect(f.now, crashingContent, "r", f.newCrash())
	case Trial:
		if !f.store.write(decision.Change) {
			table.Withdraw(crashingContent)
			f.readStore(node)
			return
		}
		table.Written(f.now, decision.Change, f.store.revision)
		f.trials++
		table.TrialCrashed(f.now, crashingContent, f.newCrash(), 0.05)
	}
}

// TestNodesHoldARequestTogether lets requests come at any node, in any order with
// what nodes write and hear, with nodes that start anew: once all have heard what
// three leaves told, the request costs two trials that end, and at most one more for
// each that was lost with its node.
func TestFleetHoldsCrashingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{T: t}
		const nodes = 4
		starts := 0
		newTable := func() *Table {
			starts++
			return NewTable(DefaultConfig(fmt.Sprint("node-", starts)))
		}
		for range nodes {
			f.tables = append(f.tables, newTable())
		}
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 5*nodes), 1, 80).Draw(t, "steps") {
			node := step % nodes
			switch step / nodes {
			case 0:
				f.sendRequest(node)
			case 1, 2:
				f.flush(node)
			case 3:
				f.readStore(node)
			case 4:
				f.now += time.Second
			default:
				f.tables[node] = newTable()
				f.readStore(node)
			}
		}
		for range 3 * nodes { // all is written and heard
			for node := range nodes {
				f.flush(node)
				f.readStore(node)
			}
		}
		before := f.trials
		for round := range 40 {
			f.now += time.Minute / 2
			f.sendRequest(round % nodes)
			for range 2 {
				for node := range nodes {
					f.flush(node)
					f.readStore(node)
				}
			}
		}
		if f.store.record.Trials == 0 || !f.store.record.Held {
			t.Fatalf("not held in the end: %+v", f.store.record)
		}
		if additional := f.trials - before; additional > 2 {
			t.Fatalf("%d trials after all was known", additional)
		}
		for node := range nodes {
			if got := f.tables[node].Admit(f.now, crashingContent); got.Verdict != Refuse || !got.Held {
				t.Fatalf("node %d: %+v", node, got)
			}
		}
	})
}
