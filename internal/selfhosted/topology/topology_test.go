package topology

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

const testService = "rate-desk"

var testAddress = netip.MustParseAddrPort("127.0.0.1:7101")

// catalogWith returns a catalog with one leaf, added at a revision.
func newCatalog(revision uint64, retiring bool) *catalog.Catalog {
	configured := catalog.Leaf{Address: testAddress, Zone: "a", Shards: []int{0}, AddedAt: revision, Retiring: retiring}
	return &catalog.Catalog{
		Revision: revision,
		Services: map[string]catalog.Service{testService: {
			Name:       testService,
			Partitions: []catalog.Partition{{Epoch: 1, Shards: 1}},
			Leaves:     map[netip.AddrPort]catalog.Leaf{testAddress: configured},
		}},
	}
}

func newReport(bootID string, state leaf.State) leaf.LoadReport {
	return leaf.LoadReport{
		BootID:      bootID,
		Service:     testService,
		LoadSummary: leaf.LoadSummary{State: state, Slots: 2},
		Holdings:    []leaf.Holding{{Snapshot: catalog.Snapshot{Version: 1, Epoch: 1}, Shards: []int{0}}},
	}
}

func isUsable(t *Table, now Time) bool {
	topology, _ := t.Service(now, testService)
	return topology.Leaves[0].Usable
}

// TestLeavingSticksToTheBoot drives a Table with random words of all sources
// about two boots of one leaf, and compares it with the rule: once any source
// called the current boot leaving, it is not usable before a new boot or a
// newer "add leaf".
func TestLeavingLeafIsUnusableUntilNewBootOrReAdd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(DefaultConfig())
		revision := uint64(1)
		table.SetCatalog(newCatalog(revision, false))
		boot := 0
		bootID := func() string { return string(rune('a' + boot)) }
		table.Report(0, testAddress, newReport(bootID(), leaf.StateServing))
		leaving := false
		t.Repeat(map[string]func(*rapid.T){
			"serving report": func(*rapid.T) { table.Report(0, testAddress, newReport(bootID(), leaf.StateServing)) },
			"draining report": func(*rapid.T) {
				table.Report(0, testAddress, newReport(bootID(), leaf.StateDraining))
				leaving = true
			},
			"draining reply":   func(*rapid.T) { table.Draining(testAddress, bootID()); leaving = true },
			"machine leaving":  func(*rapid.T) { table.MachineLeaving(testAddress, bootID()); leaving = true },
			"machine no boot":  func(*rapid.T) { table.MachineLeaving(testAddress, ""); leaving = true },
			"machine old boot": func(*rapid.T) { table.MachineLeaving(testAddress, "older") },
			"peer notice": func(*rapid.T) {
				table.ApplyNotice(Notice{Address: testAddress, BootID: bootID(), AddedAt: revision})
				leaving = true
			},
			"old peer notice": func(*rapid.T) {
				table.ApplyNotice(Notice{Address: testAddress, BootID: bootID(), AddedAt: revision - 1})
			},
			"new boot": func(*rapid.T) {
				boot++
				table.Report(0, testAddress, newReport(bootID(), leaf.StateServing))
				leaving = false
			},
			"add again": func(*rapid.T) {
				revision++
				table.SetCatalog(newCatalog(revision, false))
				leaving = false
			},
			"same catalog": func(*rapid.T) { table.SetCatalog(newCatalog(revision, false)) },
			"": func(t *rapid.T) {
				if isUsable(table, 0) == leaving {
					t.Fatalf("leaving is %v, usable is %v", leaving, isUsable(table, 0))
				}
			},
		})
	})
}

func TestRetiringLeafIsNotUsable(t *testing.T) {
	table := New(DefaultConfig())
	table.SetCatalog(newCatalog(1, true))
	table.Report(0, testAddress, newReport("a", leaf.StateServing))
	if isUsable(table, 0) {
		t.Fatal("a retiring leaf is usable")
	}
}

func TestUnresponsiveLeafBecomesUnreachableAndRecovers(t *testing.T) {
	config := DefaultConfig()
	table := New(config)
	table.SetCatalog(newCatalog(1, false))
	if isUsable(table, 0) {
		t.Fatal("a leaf is usable before it was heard of")
	}
	table.Report(0, testAddress, newReport("a", leaf.StateServing))
	for range config.UnreachableAfter {
		table.ReportFailed(testAddress)
	}
	if isUsable(table, time.Second) {
		t.Fatal("a silent leaf is usable")
	}
	table.Report(2*time.Second, testAddress, newReport("a", leaf.StateServing))
	if !isUsable(table, 2*time.Second) {
		t.Fatal("a leaf that answers again is not usable")
	}
	if isUsable(table, 2*time.Second+config.ReportLifetime+1) {
		t.Fatal("an old report keeps a leaf usable")
	}
}

func TestPeerNoticesAreNotForwarded(t *testing.T) {
	table := New(DefaultConfig())
	table.SetCatalog(newCatalog(3, false))
	table.ApplyNotice(Notice{Address: testAddress, BootID: "a", AddedAt: 3})
	if got := table.TakeNotices(); len(got) != 0 {
		t.Fatalf("a notice of a peer is passed on: %v", got)
	}
	table.SetCatalog(newCatalog(4, false))
	table.Draining(testAddress, "a")
	table.Draining(testAddress, "a")
	got := table.TakeNotices()
	want := Notice{Address: testAddress, BootID: "a", AddedAt: 4, Source: SourceReply}
	if len(got) != 1 || got[0] != want {
		t.Fatalf("got %v, want one notice %v", got, want)
	}
}

// TestMarksBringAnotherNodeInStep hands the marks of one Table to another that
// heard nothing but serving reports.
func TestMarksApplyToAnotherTable(t *testing.T) {
	tables := []*Table{New(DefaultConfig()), New(DefaultConfig())}
	for _, table := range tables {
		table.SetCatalog(newCatalog(1, false))
		table.Report(0, testAddress, newReport("a", leaf.StateServing))
	}
	source, target := tables[0], tables[1]
	if marks := source.LeavingMarks(); len(marks) > 0 {
		t.Errorf("marks before any word: %v", marks)
	}
	source.Draining(testAddress, "a")
	source.Report(0, testAddress, newReport("a", leaf.StateServing))
	for _, mark := range source.LeavingMarks() {
		target.ApplyNotice(mark)
	}
	if isUsable(target, 0) || len(target.LeavingMarks()) != 1 {
		t.Error("the leaf is still usable")
	}
	if len(target.TakeNotices()) > 0 {
		t.Error("a mark of another node is spread again")
	}
	source.Report(0, testAddress, newReport("b", leaf.StateServing))
	if marks := source.LeavingMarks(); len(marks) > 0 {
		t.Errorf("marks of an older boot: %v", marks)
	}
}
