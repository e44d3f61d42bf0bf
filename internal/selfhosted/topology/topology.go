// Package topology keeps what a node knows about leaves: which of them may get
// work now, and what they hold.
//
// Four sources are combined: the catalog, the machine list, the leaves' own
// reports and replies, and notices of other nodes. They lag and mislead, so one
// rule decides: a leaf that any source called leaving gets no new work until a
// new boot of the leaf is seen, or an operator adds it again.
//
// A Table is a pure value without goroutines, sockets or clocks. It is not safe
// for concurrent use. HealthCheck drives one: it owns the polls of leaves, and
// relies on its LoadClient for the calls and on its Sink for what comes of them.
package topology

import (
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Time is a reading of a monotonic clock: the time since an arbitrary origin.
type Time = time.Duration

// Source names who said that a leaf is leaving.
type Source string

// The sources.
const (
	SourceCatalog  Source = "catalog"
	SourceMachines Source = "machine_list"
	SourceReport   Source = "load_report"
	SourceReply    Source = "reply"
	SourcePeer     Source = "peer"
)

// Config holds the bounds of a Table.
type Config struct {
	// UnreachableAfter is the number of load polls in a row that must fail
	// before a leaf counts as unreachable.
	UnreachableAfter int
	// ReportLifetime is how long a report stays usable without a newer one.
	ReportLifetime time.Duration
}

// DefaultConfig returns the bounds used unless settings say otherwise.
func DefaultConfig() Config {
	return Config{UnreachableAfter: 3, ReportLifetime: 10 * time.Second}
}

// observation is what a node has heard from one leaf.
type leafState struct {
	report      leaf.LoadReport
	reportedAt  Time
	hasReport   bool
	failedPolls int
	leaving     *leavingMark
}

// Table combines the sources. The zero value is not usable; call New.
type Table struct {
	config         Config
	catalog        *catalog.Catalog
	leafStates     map[netip.AddrPort]*leafState
	pendingNotices []Notice
}

// New returns a Table over the empty catalog.
func New(config Config) *Table {
	return &Table{
		config:     config,
		catalog:    &catalog.Catalog{},
		leafStates: make(map[netip.AddrPort]*leafState),
	}
}

// SetCatalog installs a catalog. Leaves that it no longer has are forgotten.
func (t *Table) SetCatalog(current *catalog.Catalog) {
	t.catalog = current
	configured := make(map[netip.AddrPort]bool)
	for _, service := range current.Services {
		for address, configuredLeaf := range service.Leaves {
			configured[address] = true
			t.clearOlderMark(address, configuredLeaf.AddedAt)
		}
	}
	for address := range t.leafStates {
		if !configured[address] {
			delete(t.leafStates, address)
		}
	}
}

// Addresses returns the configured leaves, in order.
func (t *Table) Addresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, service := range t.catalog.Services {
		for address := range service.Leaves {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}

// Report takes a leaf's load report. A report that calls the leaf draining
// marks it; a report that calls it serving never clears a mark of the same
// boot.
func (t *Table) Report(now Time, address netip.AddrPort, report leaf.LoadReport) {
	state := t.ensureState(address)
	state.report = report
	state.reportedAt = now
	state.hasReport = true
	state.failedPolls = 0
	t.bindMarkToBoot(state, report.BootID)
	if report.State == leaf.StateDraining {
		t.markLeaving(address, report.BootID, SourceReport)
	}
}

// ReportFailed counts a load poll that got no answer.
func (t *Table) ReportFailed(address netip.AddrPort) {
	t.ensureState(address).failedPolls++
}

func (t *Table) ensureState(address netip.AddrPort) *leafState {
	state := t.leafStates[address]
	if state == nil {
		state = &leafState{}
		t.leafStates[address] = state
	}
	return state
}
