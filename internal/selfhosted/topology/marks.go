package topology

import "net/netip"

// Notice reports to other nodes that a leaf is leaving.
type Notice struct {
	Address netip.AddrPort
	// BootID is the boot that is leaving. If it is empty, the notice applies to the boot that the
	// receiver knows, or to the next one that it sees.
	BootID string
	// AddedAt is the catalog revision that added the leaf.
	AddedAt uint64
	Source  Source
}

// leavingMark records that one boot of a leaf is leaving.
type leavingMark struct {
	bootID  string
	addedAt uint64
	source  Source
}

// clearOlderMark clears a mark if an operator has added the leaf again since.
func (t *Table) clearOlderMark(address netip.AddrPort, addedAt uint64) {
	state := t.leafStates[address]
	if state == nil || state.leaving == nil {
		return
	}
	if addedAt > state.leaving.addedAt {
		state.leaving = nil
	}
}

// bindMarkToBoot assigns a mark without a boot to the first boot seen, and clears a mark of another
// boot.
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

// MarkDraining marks a leaf whose reply or refusal said that it is draining.
func (t *Table) MarkDraining(address netip.AddrPort, bootID string) {
	t.markLeaving(address, bootID, SourceReply)
}

// MarkMachineLeaving marks a leaf that the machine list shows as leaving or gone. It ignores an
// entry for another boot than the one last seen, because the list may be outdated.
func (t *Table) MarkMachineLeaving(address netip.AddrPort, bootID string) {
	t.markLeaving(address, bootID, SourceMachines)
}

// ApplyNotice applies a notice of another node.
func (t *Table) ApplyNotice(notice Notice) {
	addedAt, configured := t.addedAt(notice.Address)
	if !configured || notice.AddedAt < addedAt {
		return
	}
	t.markLeaving(notice.Address, notice.BootID, SourcePeer)
}

// TakeNotices returns the marks that did not come from another node and that other nodes should
// receive. Each mark is returned once.
func (t *Table) TakeNotices() []Notice {
	notices := t.pendingNotices
	t.pendingNotices = nil
	return notices
}

// LeavingMarks returns the current marks from all sources, in order of the leaf addresses. A node
// that was unable to receive notices requests them.
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

// markLeaving marks a leaf as leaving unless it is marked already. It ignores leaves outside the
// catalog and boots other than the one last seen.
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

// addedAt returns the newest revision that added the leaf to any service, and whether the catalog
// contains the leaf.
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
