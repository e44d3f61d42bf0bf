package mirror

import "slices"

// history holds the last changes of the store, in their order. It lets a watcher answer
// other nodes.
type history struct {
	// most bounds the number of changes.
	most int
	// open says that the changes after since are known up to revision.
	open            bool
	lost            bool // the store does not answer
	since, revision uint64
	events          []Event
	// gaps are the revisions between which only the difference is known.
	gaps []gap
	// changed is closed at the next change of any of this.
	changed chan struct{}
}

// gap is a gap in the history that was closed by comparing what was known at one revision
// with what there is at a later one. What was written and removed between them is not in
// it, so a node at a revision between the two cannot follow from it.
type gap struct{ from, to uint64 }

func newHistory(most int) history {
	return history{most: most, changed: make(chan struct{})}
}

func (h *history) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// restart drops all changes and goes on from a revision.
func (h *history) restart(revision uint64) {
	h.open, h.lost = true, false
	h.since, h.revision = revision, revision
	h.events, h.gaps = nil, nil
	h.wake()
}

// markLost notes that the store does not answer.
func (h *history) markLost() {
	if !h.lost {
		h.lost = true
		h.wake()
	}
}

// add takes in the changes between two revisions.
func (h *history) add(after uint64, events []Event, revision uint64) {
	if !h.open || after != h.revision {
		h.restart(after)
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
	h.gaps = append(h.gaps, gap{from: after, to: revision})
}

// maxHistoryBytes bounds the values that the history keeps. Not measured: chosen because
// it holds some versions of a configuration of thousands of routes.
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
		h.gaps = slices.DeleteFunc(h.gaps, func(one gap) bool { return one.to <= h.since })
	}
}

// withinGap reports whether a revision lies inside a gap.
func (h *history) withinGap(revision uint64) bool {
	return slices.ContainsFunc(h.gaps, func(one gap) bool { return one.from < revision && revision < one.to })
}

// after returns the answer to a node that has the changes up to a revision, and a channel
// that is closed when the answer may have changed.
func (h *history) after(revision uint64) (Watched, <-chan struct{}) {
	switch {
	case !h.open, revision < h.since, h.withinGap(revision):
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
