package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/position"
)

// restorableStore is a model of a store that may be restored from a backup: it holds the order and
// the record of one service.
type restorableStore struct {
	now    position.Position
	order  Order
	record Record
	// wanted is the order that the operator wants to be in force; it does not exist if there is none.
	wanted Order
	backup *restorableStore
}

func (s *restorableStore) write() position.Position {
	s.now.Revision++
	return s.now
}

// writeOrder writes the order that the operator wants, or withdraws it.
func (s *restorableStore) writeOrder() {
	at := s.write()
	s.order = s.wanted
	if s.order.Exists() {
		s.order.Written, s.wanted.Written = at, at
	}
}

// decide makes the operator want an order of a version, which is new even if the version is not.
func (s *restorableStore) decide(version string) {
	s.wanted = Order{Service: testService, Version: version, Duration: 6 * time.Second, Written: position.Position{Revision: 1}}
	s.writeOrder()
}

func (s *restorableStore) backUp() {
	backup := *s
	backup.backup = nil
	s.backup = &backup
}

// restore sets the store back to its backup; see writeAgain.
func (s *restorableStore) restore() {
	if s.backup == nil {
		return
	}
	era, wanted := s.now.Era+1, s.wanted
	backup := s.backup
	*s = *backup
	s.backup, s.wanted, s.now.Era = backup, wanted, era
	s.order.Written, s.record.Era = s.inEra(s.order.Written), era
}

// inEra returns the position of an item that was in the backup.
func (s *restorableStore) inEra(at position.Position) position.Position {
	if at.IsZero() {
		return at
	}
	return position.Position{Era: s.now.Era, Revision: at.Revision}
}

// writeAgain writes the order that the operator wants if the store lacks it.
func (s *restorableStore) writeAgain() {
	if s.order.Exists() != s.wanted.Exists() || s.order.Version != s.wanted.Version {
		s.writeOrder()
	}
}

func (s *restorableStore) advance(transition Transition) bool {
	expected := s.record.Written()
	if s.record.Phase == PhaseNone {
		expected = position.Position{}
	}
	if transition.Order != s.order.Written || transition.Expected != expected {
		return false
	}
	s.record = transition.Record
	s.record.SetWritten(s.write())
	return true
}

// listing returns what a node reads.
func (s *restorableStore) listing(restored bool) Listing {
	listing := Listing{Era: s.now.Era, Restored: restored}
	if s.order.Exists() {
		listing.Orders = []Order{s.order}
	}
	if s.record.Phase != PhaseNone {
		listing.Records = []Record{s.record}
	}
	return listing
}

// restorableNode is a node that follows a restorableStore.
type restorableNode struct {
	table   *Table
	decider *Decider
	era     uint64
}

func newRestorableNode(store *restorableStore) *restorableNode {
	table := NewTable()
	table.Replace(0, time.Time{}, store.listing(false))
	return &restorableNode{table: table, decider: NewDecider(table, "d"), era: store.now.Era}
}

// read reads the store, as a node does by a watch; the first time after a restore by a listing.
func (n *restorableNode) read(now time.Duration, store *restorableStore) {
	restored := n.era != store.now.Era
	n.era = store.now.Era
	n.table.Replace(now, time.Time{}.Add(now), store.listing(restored))
	if restored {
		n.decider = NewDecider(n.table, "d")
	}
}

// report sends the progress of a node to a decider, and applies the reply.
func (n *restorableNode) report(now time.Duration, decider *restorableNode) {
	report := Report{Node: "n"}
	for _, service := range n.table.UnsettledServices() {
		state := n.table.Lookup(service)
		report.Orders = append(report.Orders, Progress{
			Service: service, Order: state.Order.Number(), Version: state.Order.Version, Phase: state.Phase(), Age: state.Age(now), Bad: state.Bad,
		})
	}
	for _, grant := range decider.decider.Report(now, report).Grants {
		n.table.Merge(now, grant)
	}
}

// step writes the steps that a node decides on, unless the writes are lost.
func (n *restorableNode) step(now time.Duration, store *restorableStore, lost bool) {
	supply := func(string) Supply { return Supply{Target: 2, Control: 2, Mixed: true} }
	for _, transition := range n.decider.Tick(now, time.Time{}.Add(now), supply) {
		if !lost && store.advance(transition) {
			n.table.SetRecord(store.record)
		}
	}
}

// findBad records evidence against the target of an open rollout.
func (n *restorableNode) findBad() {
	if state := n.table.Lookup(testService); state != nil && state.IsOpen() && state.Order.Exists() {
		state.Bad = "found to be bad"
	}
}

// drawStoreStep changes the store.
func drawStoreStep(t *rapid.T, store *restorableStore) {
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		store.decide(fmt.Sprint("v", rapid.IntRange(2, 4).Draw(t, "version")))
	case 1:
		store.wanted = Order{Service: testService}
		store.writeOrder()
	case 2:
		store.backUp()
	case 3:
		store.restore()
	case 4:
		store.writeAgain()
	}
}

// drawNodeStep lets a node read, or two nodes exchange a report.
func drawNodeStep(t *rapid.T, now time.Duration, store *restorableStore, nodes []*restorableNode) {
	node := rapid.SampledFrom(nodes).Draw(t, "node")
	switch rapid.IntRange(0, 4).Draw(t, "step") {
	case 0:
		node.findBad()
	case 1, 2:
		node.read(now, store)
	default:
		rapid.SampledFrom(nodes).Draw(t, "reporter").report(now, node)
		node.step(now, store, rapid.IntRange(0, 3).Draw(t, "lost") == 0)
	}
}

// TestRolloutAcrossRestores guards against rollouts that stand still, begin anew or end differently
// because the store was restored from a backup: nodes read at different times, the operator orders
// and withdraws, and steps are written or lost. In the end the order in the store must be in force at
// all nodes, and must have ended as the store says.
func TestRolloutAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restorableStore{}
		nodes := []*restorableNode{newRestorableNode(store), newRestorableNode(store)}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "at the store") {
				drawStoreStep(t, store)
			} else {
				drawNodeStep(t, now, store, nodes)
			}
		}
		settle(now, store, nodes)
		requireSettled(t, store, nodes)
	})
}

// settle plays a store without further changes, which all nodes read, until a rollout has ended.
func settle(now time.Duration, store *restorableStore, nodes []*restorableNode) {
	store.writeAgain()
	for range 40 {
		now += 500 * time.Millisecond
		for _, node := range nodes {
			node.read(now, store)
		}
		for _, node := range nodes {
			node.report(now, nodes[0])
		}
		nodes[0].step(now, store, false)
	}
}

// requireSettled checks that the order in the store is in force at all nodes and has ended in the
// same way everywhere.
func requireSettled(t *rapid.T, store *restorableStore, nodes []*restorableNode) {
	for index, node := range nodes {
		state := node.table.Lookup(testService)
		if state == nil {
			continue
		}
		if state.Order.Written != store.order.Written {
			t.Fatalf("node %d: got order %+v in force, want %+v", index, state.Order, store.order)
		}
		if state.IsOpen() {
			t.Fatalf("node %d: got open phase %q, want the end of the rollout", index, state.Phase())
		}
		if state.Order.Exists() && state.Phase() != store.record.Phase {
			t.Fatalf("node %d: got phase %q, want that of the store, %q", index, state.Phase(), store.record.Phase)
		}
		if state.Order.Exists() && (store.record.Order != store.order.Number() || store.record.Version != store.order.Version) {
			t.Fatalf("got record %+v for order %+v", store.record, store.order)
		}
	}
}
