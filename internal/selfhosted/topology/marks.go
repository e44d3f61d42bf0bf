package topology

import "net/netip"

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
