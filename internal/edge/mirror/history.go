package mirror

import "slices"

// history holds the last changes that the store has told, in their order. It
// lets a watcher answer other nodes.
type history struct {
	most int
	// open says that the changes after since are known up to revision.
	open            bool
	lost            bool // the store does not answer
	since, revision uint64
	events          []Event
	// leaps are the revisions between which only the difference is known.
	leaps []leap
	// changed is closed at the next change of any of this.
	changed chan struct{}
}

// leap is a gap in the history that was closed by comparing what was known at one
// revision with what there is at a later one. What came and went between them is
// not in it: it tells a node nothing that knows a revision between the two.
type leap struct{ from, to uint64 }

func newHistory(most int) history {
	return history{most: most, changed: make(chan struct{})}
}

func (h *history) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// begin forgets all changes and goes on from a revision.
func (h *history) begin(revision uint64) {
	h.open, h.lost = true, false
	h.since, h.revision = revision, revision
	h.events, h.leaps = nil, nil
	h.wake()
}

// lose notes that the store does not answer.
func (h *history) lose() {
	if !h.lost {
		h.lost = true
		h.wake()
	}
}

// add takes in the changes between two revisions.
func (h *history) add(after uint64, events []Event, revision uint64) {
	if !h.open || after != h.revision {
		h.begin(after)
	}
	returned := h.lost
	h.lost = false
	h.revision = revision
	if len(events) == 0 && !returned {
		return
	}
	h.events = append(h.events, events...)
	h.trim()
	h.wake()
}

// addDifference takes in what is different between two revisions.
func (h *history) addDifference(after uint64, events []Event, revision uint64) {
	h.add(after, events, revision)
	h.leaps = append(h.leaps, leap{from: after, to: revision})
}

// maxHistoryBytes bounds the values that the history keeps: some versions of a
// configuration of thousands of routes.
const maxHistoryBytes = 4 << 20

// trim drops the oldest changes beyond the bounds. The last one stays.
func (h *history) trim() {
	size := sizeOf(h.events)
	surplus := max(len(h.events)-h.most, 0)
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
		h.leaps = slices.DeleteFunc(h.leaps, func(one leap) bool { return one.to <= h.since })
	}
}

// within reports whether a revision lies inside a leap.
func (h *history) within(revision uint64) bool {
	return slices.ContainsFunc(h.leaps, func(one leap) bool { return one.from < revision && revision < one.to })
}

// after returns what a node should be told that has the changes up to a
// revision, and a channel that is closed when that may have changed.
func (h *history) after(revision uint64) (Watched, <-chan struct{}) {
	switch {
	case !h.open, revision < h.since, h.within(revision):
		return Watched{State: WatchRefused}, h.changed
	case h.lost:
		return Watched{State: WatchLost}, h.changed
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
	return Watched{
		State:    WatchCurrent,
		Events:   slices.Clone(h.events[first:]),
		Revision: max(h.revision, revision),
	}, h.changed
}
