// Package topology keeps what a node knows about leaves: which of them may get
// work now, and what they hold.
//
// Four sources are combined: the catalog, the machine list, the leaves' own
// reports and replies, and notices of other nodes. They lag and mislead, so one
// rule decides: a leaf that any source called leaving gets no new work until a
// new boot of the leaf is seen, or an operator adds it again.
//
// A Table is a pure value without goroutines, sockets or clocks. It is not safe
// for concurrent use.
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

// Notice says that a leaf is leaving. Nodes send it to each other.
type Notice struct {
	Address netip.AddrPort
	// BootID is the boot that is leaving; empty means the boot that the
	// receiver knows, or else the next one that it meets.
	BootID string
	// AddedAt is the catalog revision that added the leaf.
	AddedAt uint64
	Source  Source
}

// mark remembers that one boot of a leaf is leaving.
type mark struct {
	bootID  string
	addedAt uint64
	source  Source
}

// observation is what a node has heard from one leaf.
type observation struct {
	report     leaf.LoadReport
	reportedAt Time
	heard      bool
	failures   int
	leaving    *mark
}

// Table combines the sources. The zero value is not usable; call New.
type Table struct {
	config   Config
	catalog  *catalog.Catalog
	observed map[netip.AddrPort]*observation
	notices  []Notice
}

// New returns a Table over the empty catalog.
func New(config Config) *Table {
	return &Table{
		config:   config,
		catalog:  &catalog.Catalog{},
		observed: make(map[netip.AddrPort]*observation),
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
	for address := range t.observed {
		if !configured[address] {
			delete(t.observed, address)
		}
	}
}

// clearOlderMark drops a mark that an operator has overruled by adding the
// leaf again.
func (t *Table) clearOlderMark(address netip.AddrPort, addedAt uint64) {
	seen := t.observed[address]
	if seen == nil || seen.leaving == nil {
		return
	}
	if addedAt > seen.leaving.addedAt {
		seen.leaving = nil
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
	seen := t.observe(address)
	seen.report = report
	seen.reportedAt = now
	seen.heard = true
	seen.failures = 0
	t.bindMark(seen, report.BootID)
	if report.State == leaf.StateDraining {
		t.mark(address, report.BootID, SourceReport)
	}
}

// bindMark ties a mark without a boot to the first boot met, and clears the
// mark of an older boot.
func (t *Table) bindMark(seen *observation, bootID string) {
	if seen.leaving == nil || bootID == "" {
		return
	}
	if seen.leaving.bootID == "" {
		seen.leaving.bootID = bootID
		return
	}
	if seen.leaving.bootID != bootID {
		seen.leaving = nil
	}
}

// ReportFailed counts a load poll that got no answer.
func (t *Table) ReportFailed(address netip.AddrPort) {
	t.observe(address).failures++
}

// Draining marks a leaf whose reply or refusal said that it is leaving.
func (t *Table) Draining(address netip.AddrPort, bootID string) {
	t.mark(address, bootID, SourceReply)
}

// MachineLeaving marks a leaf that the machine list calls leaving or gone.
// The list lags: an entry for another boot than the one last met is ignored.
func (t *Table) MachineLeaving(address netip.AddrPort, bootID string) {
	t.mark(address, bootID, SourceMachines)
}

// Apply takes a notice of another node.
func (t *Table) Apply(notice Notice) {
	addedAt, configured := t.addedAt(notice.Address)
	if !configured || notice.AddedAt < addedAt {
		return
	}
	t.mark(notice.Address, notice.BootID, SourcePeer)
}

// Notices returns, once, the marks that this node learned at first hand and
// that other nodes should hear of.
func (t *Table) Notices() []Notice {
	notices := t.notices
	t.notices = nil
	return notices
}

// Marks returns the marks in force, however learned, in order of the leaves.
// A node that was cut off from the others asks for them.
func (t *Table) Marks() []Notice {
	var marks []Notice
	for _, address := range t.Addresses() {
		if seen := t.observed[address]; seen != nil && seen.leaving != nil {
			marks = append(marks, Notice{
				Address: address,
				BootID:  seen.leaving.bootID,
				AddedAt: seen.leaving.addedAt,
				Source:  seen.leaving.source,
			})
		}
	}
	return marks
}

func (t *Table) mark(address netip.AddrPort, bootID string, source Source) {
	addedAt, configured := t.addedAt(address)
	if !configured {
		return
	}
	seen := t.observe(address)
	if seen.heard && bootID != "" && seen.report.BootID != bootID {
		return
	}
	if bootID == "" && seen.heard {
		bootID = seen.report.BootID
	}
	if seen.leaving != nil {
		return
	}
	seen.leaving = &mark{bootID: bootID, addedAt: addedAt, source: source}
	if source != SourcePeer {
		t.notices = append(t.notices, Notice{Address: address, BootID: bootID, AddedAt: addedAt, Source: source})
	}
}

func (t *Table) observe(address netip.AddrPort) *observation {
	seen := t.observed[address]
	if seen == nil {
		seen = &observation{}
		t.observed[address] = seen
	}
	return seen
}

// addedAt returns the newest revision that added the leaf to any service.
func (t *Table) addedAt(address netip.AddrPort) (uint64, bool) {
	var newest uint64
	found := false
	for _, service := range t.catalog.Services {
		if configured, ok := service.Leaves[address]; ok {
			newest = max(newest, configured.AddedAt)
			found = true
		}
	}
	return newest, found
}
