package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/position"
)

// modelStore is a store with one key that several nodes write conditionally. Its revision only
// grows.
type modelStore struct {
	present  bool
	record   Record
	revision uint64
}

// at returns a position in a store that was never restored.
func at(revision uint64) position.Position { return position.Position{Revision: revision} }

func (s *modelStore) currentRevision() uint64 {
	if s.present {
		return s.revision
	}
	return 0
}

// write applies a change unless another write came first.
func (s *modelStore) write(change Change) bool {
	if change.Expected != at(s.currentRevision()) {
		return false
	}
	s.present, s.record = !change.Remove, change.Record
	s.revision++
	return true
}

// fleet is a group of nodes that share one store.
type fleet struct {
	*rapid.T
	store   modelStore
	tables  []*Table
	now     time.Duration
	trials  int // started
	crashes int
}

// flush writes the pending change of a node; if another write came first, the node reads the store.
func (f *fleet) flush(node int) {
	change, pending := f.tables[node].PendingChange(crashingContent)
	if !pending {
		return
	}
	if f.store.write(change) {
		f.tables[node].MarkWritten(f.now, change, at(f.store.revision))
		return
	}
	f.readStore(node)
}

// readStore passes the state of the store to a node.
func (f *fleet) readStore(node int) {
	if f.store.present {
		f.tables[node].ApplyStored(f.now, crashingContent, StoredRecord{Record: f.store.record, Written: at(f.store.revision)})
		return
	}
	f.tables[node].Remove(f.now, crashingContent, at(f.store.revision))
}

// newCrash returns a crash of a new incarnation of the leaf.
func (f *fleet) newCrash() []Crash {
	f.crashes++
	return []Crash{{Leaf: fmt.Sprint("leaf@", f.crashes), Request: fmt.Sprint(f.crashes)}}
}

// sendRequest sends the request to a node. Unless the node refuses the request, a leaf crashes
// under it.
func (f *fleet) sendRequest(node int) {
	table := f.tables[node]
	switch decision := table.Admit(f.now, crashingContent); decision.Verdict {
	case Run:
		table.RecordCrashes(f.now, crashingContent, "r", f.newCrash())
	case Trial:
		if !f.store.write(decision.Change) {
			table.CancelTrial(crashingContent)
			f.readStore(node)
			return
		}
		table.MarkWritten(f.now, decision.Change, at(f.store.revision))
		f.trials++
		table.RecordTrialCrash(f.now, crashingContent, f.newCrash(), 0.05)
	}
}

// TestFleetHoldsCrashingRequest sends requests to arbitrary nodes, interleaved with writes, reads
// and restarts of nodes. Once all nodes know of three crashes, the request may cost at most two
// more trials, and every node must refuse it in the end.
func TestFleetHoldsCrashingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{T: t}
		const nodes = 4
		processes := 0
		newTable := func() *Table {
			processes++
			return NewTable(DefaultConfig(fmt.Sprint("node-", processes)))
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
		for range 3 * nodes { // all nodes write and read everything
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
			t.Fatalf("record %+v, want it held after a trial", f.store.record)
		}
		if additional := f.trials - before; additional > 2 {
			t.Fatalf("%d trials after all nodes had read the store, want at most 2", additional)
		}
		for node := range nodes {
			if got := f.tables[node].Admit(f.now, crashingContent); got.Verdict != Refuse || !got.Held {
				t.Fatalf("node %d: decision %+v, want a held request refused", node, got)
			}
		}
	})
}
