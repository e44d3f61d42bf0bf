package mirror

import "slices"

// history holds the latest changes of the store in order. A watcher serves other nodes from it.
type history struct {
	// maxEvents bounds the number of changes.
	maxEvents int
	// started is set if all changes after since, up to revision, have been received.
	started         bool
	disconnected    bool // the store does not respond
	since, revision uint64
	events          []Event
	// gaps are the revision ranges for which only the difference between both ends is recorded.
	gaps []diffGap
	// changed is closed when the history changes next.
	changed chan struct{}
}

// diffGap is a range of revisions that was bridged by comparing the items at both ends. Keys that
// were written and removed in between are missing from the difference, so a node at a revision
// inside the range cannot continue from it.
type diffGap struct{ from, to uint64 }

func newHistory(maxEvents int) history {
	return history{maxEvents: maxEvents, changed: make(chan struct{})}
}

func (h *history) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// restart drops all changes and continues from a revision.
func (h *history) restart(revision uint64) {
	h.started, h.disconnected = true, false
	h.since, h.revision = revision, revision
	h.events, h.gaps = nil, nil
	h.notify()
}

// markDisconnected records that the store does not respond.
func (h *history) markDisconnected() {
	if !h.disconnected {
		h.disconnected = true
		h.notify()
	}
}

// append records the changes between two revisions.
func (h *history) append(after uint64, events []Event, revision uint64) {
	if !h.started || after != h.revision {
		h.restart(after)
	}
	reconnected := h.disconnected
	h.disconnected = false
	h.revision = revision
	if len(events) == 0 && !reconnected {
		return
	}
	h.events = append(h.events, events...)
	h.trim()
	h.notify()
}

// appendDiff records the difference between two revisions.
func (h *history) appendDiff(after uint64, events []Event, revision uint64) {
	h.append(after, events, revision)
	h.gaps = append(h.gaps, diffGap{from: after, to: revision})
}

// maxHistoryBytes bounds the size of the values in the history. It holds several versions of a
// configuration of thousands of routes.
const maxHistoryBytes = 4 << 20

// trim drops the oldest changes beyond the bounds. The latest change always stays.
func (h *history) trim() {
	size := valueBytes(h.events)
	surplus := max(len(h.events)-h.maxEvents, 0)
	for index := range h.events {
		if index >= surplus && (size <= maxHistoryBytes || index == len(h.events)-1) {
			surplus = index
			break
		}
		size -= len(h.events[index].Value)
	}
	if surplus > 0 {
		h.since = h.events[surplus-1].Revision
		h.events = slices.Clone(h.events[surplus:])
		h.gaps = slices.DeleteFunc(h.gaps, func(gap diffGap) bool { return gap.to <= h.since })
	}
}

// withinGap reports whether a revision lies inside a gap.
func (h *history) withinGap(revision uint64) bool {
	return slices.ContainsFunc(h.gaps, func(gap diffGap) bool { return gap.from < revision && revision < gap.to })
}

// eventsAfter returns the response to a node that has the changes up to a revision, and a channel
// that is closed when the response may have changed.
func (h *history) eventsAfter(revision uint64) (WatchResponse, <-chan struct{}) {
	switch {
	case !h.started, revision < h.since, h.withinGap(revision):
		return WatchResponse{State: WatchRefused}, h.changed
	case h.disconnected:
		return WatchResponse{State: WatchDisconnected}, h.changed
	}
	first, _ := slices.BinarySearchFunc(h.events, revision+1, func(event Event, wanted uint64) int {
		switch {
		case event.Revision < wanted:
			return -1
		case event.Revision > wanted:
			return 1
		}
		return 0
	})
	return WatchResponse{
		State:    WatchCurrent,
		Events:   slices.Clone(h.events[first:]),
		Revision: max(h.revision, revision),
	}, h.changed
}
