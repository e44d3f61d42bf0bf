package quarantine

import (
	"math"
	"slices"
	"time"
)

// Of returns what is known of a request; false if nothing is.
func (t *Table) Of(content Content) (Known, bool) {
	if known := t.entries[content]; known != nil {
		return known.Known, true
	}
	return Known{}, false
}

// Unwritten returns the requests whose records the store lacks.
func (t *Table) Unwritten() []Content {
	var all []Content
	for content, known := range t.entries {
		if known.unwritten {
			all = append(all, content)
		}
	}
	return all
}

// Change returns what is to be written of a request; false if nothing is.
func (t *Table) Change(content Content) (Change, bool) {
	known := t.entries[content]
	if known == nil || !known.unwritten {
		return Change{}, false
	}
	if known.cleared && known.Revision == 0 {
		delete(t.entries, content)
		return Change{}, false
	}
	return known.change(content), true
}

func (e *entry) change(content Content) Change {
	return Change{Content: content, Former: e.Revision, Record: e.Record, Remove: e.cleared}
}

// Written takes in that a change was written, at a revision of the store.
func (t *Table) Written(now time.Duration, change Change, revision uint64) {
	known := t.entries[change.Content]
	switch {
	case known == nil:
	case change.Remove:
		delete(t.entries, change.Content)
	default:
		known.Revision = max(known.Revision, revision)
		known.unwritten = known.cleared || !known.equal(change.Record)
	}
}

// Set takes in a record as the store has it. What this node knows beyond it stays,
// and is to be written. It reports whether the request became held by it.
func (t *Table) Set(now time.Duration, content Content, stored Known) bool {
	known := t.entries[content]
	if known == nil {
		if !t.makeRoom(now) {
			return false
		}
		known = newEntry(stored, now)
		t.entries[content] = known
		t.see(now, known, false)
		t.settle(known)
		return known.Held
	}
	if stored.Revision <= known.Revision {
		return false
	}
	both := mergeRecords(stored.Record, known.Record)
	if ownOver := stored.Trial == t.config.Self && known.Trial == ""; ownOver {
		both.Trial = ""
	}
	if !both.equal(known.Record) {
		known.changed = now
	}
	former := known.Held
	known.Known = Known{Record: both, Revision: stored.Revision}
	t.see(now, known, false)
	t.settle(known)
	known.unwritten = known.cleared || !known.equal(stored.Record)
	return known.Held && !former
}

// Remove takes in that the store has no record of a request any more. One that was
// held is tried first from then on: leaves may have been mended, or not. It reports
// whether the request was held. The revision is that at which the record was seen to be
// gone: one that was written later stays.
func (t *Table) Remove(now time.Duration, content Content, revision uint64) bool {
	known := t.entries[content]
	if known == nil || known.Revision == 0 || known.Revision > revision {
		return false
	}
	if !known.Held || known.cleared {
		delete(t.entries, content)
		return false
	}
	again := newEntry(Known{Record: Record{Route: known.Route, Crashes: slices.Clone(known.Crashes), Odds: 1}}, now)
	for index := range again.Crashes {
		again.Crashes[index].Chance = 0 // its trials are over
	}
	again.seen = known.seen
	t.entries[content] = again
	return true
}

// Replace takes in all records that the store has.
func (t *Table) Replace(now time.Duration, all map[Content]Known) {
	for content := range t.entries {
		if _, listed := all[content]; !listed {
			t.Remove(now, content, math.MaxUint64)
		}
	}
	t.Merge(now, all)
}

// Merge takes in records that the store had at some time, and maybe not all of them.
func (t *Table) Merge(now time.Duration, some map[Content]Known) {
	for content, stored := range some {
		t.Set(now, content, stored)
	}
}
