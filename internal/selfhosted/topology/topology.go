// Package topology tracks the state of leaves: which of them may receive requests and which shards
// they hold.
//
// It combines four sources: the catalog, the machine list, the reports and replies of the leaves,
// and notices of other nodes. Each source may be outdated or wrong. Therefore a leaf that any
// source reported as leaving receives no new requests until a new boot of the leaf is seen or an
// operator adds the leaf again.
//
// A Table is a state machine without goroutines, sockets or clocks, and is not safe for concurrent
// use. HealthCheck drives a Table. It runs the load polls, calls leaves through a LoadClient and
// passes results to a Sink.
package topology

import (
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Time is a reading of a monotonic clock, as the duration since an arbitrary origin.
type Time = time.Duration

// Source names the source that reported a leaf as leaving.
type Source string

const (
	SourceCatalog  Source = "catalog"
	SourceMachines Source = "machine_list"
	SourceReport   Source = "load_report"
	SourceReply    Source = "reply"
	SourcePeer     Source = "peer"
)

// Config holds the thresholds of a Table.
type Config struct {
	// UnreachableAfter is the number of consecutive failed load polls after which a leaf is
	// unreachable.
	UnreachableAfter int
	// ReportLifetime is how long a report is used if no newer one arrives.
	ReportLifetime time.Duration
}

// DefaultConfig returns the thresholds used unless the settings override them.
func DefaultConfig() Config {
	return Config{UnreachableAfter: 3, ReportLifetime: 10 * time.Second}
}

// leafState holds what a node knows about one leaf besides its catalog entry. hasReport is false
// until the first load report, and failedPolls counts the failed polls since the last report.
type leafState struct {
	report      leaf.LoadReport
	reportedAt  Time
	hasReport   bool
	failedPolls int
	leaving     *leavingMark
}

// Table combines the sources. Create it with NewTable; the zero value is not usable.
type Table struct {
	config         Config
	catalog        *catalog.Catalog
	leafStates     map[netip.AddrPort]*leafState
	pendingNotices []Notice
}

// NewTable returns a Table with an empty catalog.
func NewTable(config Config) *Table {
	return &Table{
		config:     config,
		catalog:    &catalog.Catalog{},
		leafStates: make(map[netip.AddrPort]*leafState),
	}
}

// SetCatalog installs a catalog and drops the state of leaves that it does not contain.
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

// Addresses returns the addresses of the leaves in the catalog, in order and without duplicates.
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

// RecordReport records a load report. A report with state draining marks the leaf as leaving. A
// report with state serving never clears the mark of the same boot.
func (t *Table) RecordReport(now Time, address netip.AddrPort, report leaf.LoadReport) {
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

// RecordPollFailure counts a failed load poll.
func (t *Table) RecordPollFailure(address netip.AddrPort) {
	t.ensureState(address).failedPolls++
}

// ensureState returns the state of a leaf and creates it if necessary.
func (t *Table) ensureState(address netip.AddrPort) *leafState {
	state := t.leafStates[address]
	if state == nil {
		state = &leafState{}
		t.leafStates[address] = state
	}
	return state
}
