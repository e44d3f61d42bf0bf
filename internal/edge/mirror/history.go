package mirror

import (
	"slices"

	"github.com/micaplank/micaplank/internal/position"
)

// history holds the latest changes of the store in order. A watcher serves other nodes from it.
type history struct {
	// maxEvents bounds the number of changes.
	maxEvents int
	// started is set if all changes after since, up to reached, have been received.
	started        bool
	disconnected   bool              // the store does not respond
	since, reached position.Position // of one era
	// restored is set once the store was restored while this node followed it. Then a node that does
	// not state its era may be in an earlier one.
	restored bool
	events   []Event
	// gaps are the ranges of positions for which only the difference between both ends is recorded.
	gaps []diffGap
	// changed is closed when the history changes next.
	changed chan struct{}
}

// diffGap is a range of positions that was bridged by comparing the items at both ends. Keys that
// were written and removed in between are missing from the difference, so a node at a position
// inside the range cannot continue from it.
type diffGap struct{ from, to position.Position }

func newHistory(maxEvents int) history {
	return history{maxEvents: maxEvents, changed: make(chan struct{})}
}

func (h *history) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// restart drops all changes and continues from a position.
func (h *history) restart(from position.Position) {
	h.restored = h.restored || h.started && from.Era != h.reached.Era
	h.started, h.disconnected = true, false
	h.since, h.reached = from, from
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

// append records the changes between two positions of one era.
func (h *history) append(after position.Position, events []Event, reached position.Position) {
	if !h.started || after != h.reached {
		h.restart(after)
	}
	reconnected := h.disconnected
	h.disconnected = false
	h.reached = reached
	if len(events) == 0 && !reconnected {
		return
	}
	h.events = append(h.events, events...)
	h.trim()
	h.notify()
}

// appendDiff records the difference between two positions of one era.
func (h *history) appendDiff(after position.Position, events []Event, reached position.Position) {
	h.append(after, events, reached)
	h.gaps = append(h.gaps, diffGap{from: after, to: reached})
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
		h.since.Revision = h.events[surplus-1].Revision
		h.events = slices.Clone(h.events[surplus:])
		h.gaps = slices.DeleteFunc(h.gaps, func(gap diffGap) bool { return !h.since.Before(gap.to) })
	}
}

// withinGap reports whether a position lies inside a gap.
func (h *history) withinGap(asked position.Position) bool {
	return slices.ContainsFunc(h.gaps, func(gap diffGap) bool { return gap.from.Before(asked) && asked.Before(gap.to) })
}

// eventsAfter returns the response to a node that has the changes up to a position, and a channel
// that is closed when the response may have changed. A refusal names the position of this node, from
// which the other one learns of a restore of the store.
func (h *history) eventsAfter(after position.Position) (WatchResponse, <-chan struct{}) {
	switch {
	case !h.started, after.Era != h.reached.Era, after.Before(h.since), h.withinGap(after):
		return h.refusal(), h.changed
	case h.disconnected:
		return WatchResponse{State: WatchDisconnected, Era: h.reached.Era}, h.changed
	}
	first, _ := slices.BinarySearchFunc(h.events, after.Revision+1, func(event Event, wanted uint64) int {
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
		Revision: max(h.reached.Revision, after.Revision),
		Era:      after.Era,
	}, h.changed
}

// assumeEra returns the position of a node, with the era of this history if the node does not state
// one and cannot be in another.
func (h *history) assumeEra(after position.Position) position.Position {
	if after.Era == 0 && !h.restored {
		after.Era = h.reached.Era
	}
	return after
}

// refusal returns the response to a node that this one cannot serve.
func (h *history) refusal() WatchResponse {
	return WatchResponse{State: WatchRefused, Revision: h.reached.Revision, Era: h.reached.Era}
}
