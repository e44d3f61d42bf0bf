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
type leavingMark struct {
	bootID  string
	addedAt uint64
	source  Source
}

// clearOlderMark drops a mark that an operator has overruled by adding the
// leaf again.
func (t *Table) clearOlderMark(address netip.AddrPort, addedAt uint64) {
	state := t.leafStates[address]
	if state == nil || state.leaving == nil {
		return
	}
	if addedAt > state.leaving.addedAt {
		state.leaving = nil
	}
}

// bindMark ties a mark without a boot to the first boot met, and clears the
// mark of an older boot.
func (t *Table) bindMarkToBoot(state *leafState, bootID string) {
	if state.leaving == nil || bootID == "" {
		return
	}
	if state.leaving.bootID == "" {
		state.leaving.bootID = bootID
		return
	}
	if state.leaving.bootID != bootID {
		state.leaving = nil
	}
}

// Draining marks a leaf whose reply or refusal said that it is leaving.
func (t *Table) Draining(address netip.AddrPort, bootID string) {
	t.markLeaving(address, bootID, SourceReply)
}

// MachineLeaving marks a leaf that the machine list calls leaving or gone.
// The list lags: an entry for another boot than the one last met is ignored.
func (t *Table) MachineLeaving(address netip.AddrPort, bootID string) {
	t.markLeaving(address, bootID, SourceMachines)
}

// Apply takes a notice of another node.
func (t *Table) ApplyNotice(notice Notice) {
	addedAt, configured := t.addedAt(notice.Address)
	if !configured || notice.AddedAt < addedAt {
		return
	}
	t.markLeaving(notice.Address, notice.BootID, SourcePeer)
}

// Notices returns, once, the marks that this node learned at first hand and
// that other nodes should hear of.
func (t *Table) TakeNotices() []Notice {
	notices := t.pendingNotices
	t.pendingNotices = nil
	return notices
}

// Marks returns the marks in force, however learned, in order of the leaves.
// A node that was cut off from the others asks for them.
func (t *Table) LeavingMarks() []Notice {
	var marks []Notice
	for _, address := range t.Addresses() {
		if state := t.leafStates[address]; state != nil && state.leaving != nil {
			marks = append(marks, Notice{
				Address: address,
				BootID:  state.leaving.bootID,
				AddedAt: state.leaving.addedAt,
				Source:  state.leaving.source,
			})
		}
	}
	return marks
}

func (t *Table) markLeaving(address netip.AddrPort, bootID string, source Source) {
	addedAt, configured := t.addedAt(address)
	if !configured {
		return
	}
	state := t.ensureState(address)
	if state.hasReport && bootID != "" && state.report.BootID != bootID {
		return
	}
	if bootID == "" && state.hasReport {
		bootID = state.report.BootID
	}
	if state.leaving != nil {
		return
	}
	state.leaving = &leavingMark{bootID: bootID, addedAt: addedAt, source: source}
	if source != SourcePeer {
		t.pendingNotices = append(t.pendingNotices, Notice{Address: address, BootID: bootID, AddedAt: addedAt, Source: source})
	}
}

// addedAt returns the newest revision that added the leaf to any service.
func (t *Table) addedAt(address netip.AddrPort) (uint64, bool) {
	var newest uint64
	configured := false
	for _, service := range t.catalog.Services {
		if configuredLeaf, ok := service.Leaves[address]; ok {
			newest = max(newest, configuredLeaf.AddedAt)
			configured = true
		}
	}
	return newest, configured
}
