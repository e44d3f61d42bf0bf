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

// newCatalog returns a catalog with one leaf that was added at the given revision.
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
	topology, _ := t.ServiceTopology(now, testService)
	return topology.Leaves[0].Usable
}

// TestLeavingLeafIsUnusableUntilNewBootOrReAdd applies random reports, notices and catalogs about
// the boots of one leaf. Once any source reported the current boot as leaving, the leaf must be
// unusable until a new boot or a newer catalog entry.
func TestLeavingLeafIsUnusableUntilNewBootOrReAdd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(DefaultConfig())
		revision := uint64(1)
		table.SetCatalog(newCatalog(revision, false))
		boot := 0
		bootID := func() string { return string(rune('a' + boot)) }
		table.RecordReport(0, testAddress, newReport(bootID(), leaf.StateServing))
		leaving := false
		t.Repeat(map[string]func(*rapid.T){
			"serving report": func(*rapid.T) { table.RecordReport(0, testAddress, newReport(bootID(), leaf.StateServing)) },
			"draining report": func(*rapid.T) {
				table.RecordReport(0, testAddress, newReport(bootID(), leaf.StateDraining))
				leaving = true
			},
			"draining reply":   func(*rapid.T) { table.MarkDraining(testAddress, bootID()); leaving = true },
			"machine leaving":  func(*rapid.T) { table.MarkMachineLeaving(testAddress, bootID()); leaving = true },
			"machine no boot":  func(*rapid.T) { table.MarkMachineLeaving(testAddress, ""); leaving = true },
			"machine old boot": func(*rapid.T) { table.MarkMachineLeaving(testAddress, "older") },
			"peer notice": func(*rapid.T) {
				table.ApplyNotice(Notice{Address: testAddress, BootID: bootID(), AddedAt: revision})
				leaving = true
			},
			"old peer notice": func(*rapid.T) {
				table.ApplyNotice(Notice{Address: testAddress, BootID: bootID(), AddedAt: revision - 1})
			},
			"new boot": func(*rapid.T) {
				boot++
				table.RecordReport(0, testAddress, newReport(bootID(), leaf.StateServing))
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
					t.Fatalf("usable is %v, want %v", isUsable(table, 0), !leaving)
				}
			},
		})
	})
}

func TestRetiringLeafIsNotUsable(t *testing.T) {
	table := NewTable(DefaultConfig())
	table.SetCatalog(newCatalog(1, true))
	table.RecordReport(0, testAddress, newReport("a", leaf.StateServing))
	if isUsable(table, 0) {
		t.Fatal("usable is true for a retiring leaf, want false")
	}
}

func TestUnresponsiveLeafBecomesUnreachableAndRecovers(t *testing.T) {
	config := DefaultConfig()
	table := NewTable(config)
	table.SetCatalog(newCatalog(1, false))
	if isUsable(table, 0) {
		t.Fatal("usable is true before the first report, want false")
	}
	table.RecordReport(0, testAddress, newReport("a", leaf.StateServing))
	for range config.UnreachableAfter {
		table.RecordPollFailure(testAddress)
	}
	if isUsable(table, time.Second) {
		t.Fatal("usable is true after UnreachableAfter failed polls, want false")
	}
	table.RecordReport(2*time.Second, testAddress, newReport("a", leaf.StateServing))
	if !isUsable(table, 2*time.Second) {
		t.Fatal("usable is false after a new report, want true")
	}
	if isUsable(table, 2*time.Second+config.ReportLifetime+1) {
		t.Fatal("usable is true after ReportLifetime without a report, want false")
	}
}

func TestPeerNoticesAreNotForwarded(t *testing.T) {
	table := NewTable(DefaultConfig())
	table.SetCatalog(newCatalog(3, false))
	table.ApplyNotice(Notice{Address: testAddress, BootID: "a", AddedAt: 3})
	if got := table.TakeNotices(); len(got) != 0 {
		t.Fatalf("TakeNotices returned %v after a notice of a peer, want none", got)
	}
	table.SetCatalog(newCatalog(4, false))
	table.MarkDraining(testAddress, "a")
	table.MarkDraining(testAddress, "a")
	got := table.TakeNotices()
	want := Notice{Address: testAddress, BootID: "a", AddedAt: 4, Source: SourceReply}
	if len(got) != 1 || got[0] != want {
		t.Fatalf("TakeNotices returned %v, want one notice %v", got, want)
	}
}

// TestMarksApplyToAnotherTable applies the marks of one Table to another that received only serving
// reports.
func TestMarksApplyToAnotherTable(t *testing.T) {
	tables := []*Table{NewTable(DefaultConfig()), NewTable(DefaultConfig())}
	for _, table := range tables {
		table.SetCatalog(newCatalog(1, false))
		table.RecordReport(0, testAddress, newReport("a", leaf.StateServing))
	}
	source, target := tables[0], tables[1]
	if marks := source.LeavingMarks(); len(marks) > 0 {
		t.Errorf("LeavingMarks returned %v before the leaf was reported as leaving, want none", marks)
	}
	source.MarkDraining(testAddress, "a")
	source.RecordReport(0, testAddress, newReport("a", leaf.StateServing))
	for _, mark := range source.LeavingMarks() {
		target.ApplyNotice(mark)
	}
	if isUsable(target, 0) || len(target.LeavingMarks()) != 1 {
		t.Error("leaf is usable or has no mark after the marks were applied, want one mark and an unusable leaf")
	}
	if len(target.TakeNotices()) > 0 {
		t.Error("TakeNotices returned a mark of another node, want none")
	}
	source.RecordReport(0, testAddress, newReport("b", leaf.StateServing))
	if marks := source.LeavingMarks(); len(marks) > 0 {
		t.Errorf("LeavingMarks returned %v after a new boot, want none", marks)
	}
}
