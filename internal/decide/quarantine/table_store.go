package quarantine

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/position"
)

// Lookup returns the record of a request; false if the table has none.
func (t *Table) Lookup(content Content) (StoredRecord, bool) {
	if e := t.entries[content]; e != nil {
		return e.StoredRecord, true
	}
	return StoredRecord{}, false
}

// PendingWrites returns the requests whose records must be written to the store.
func (t *Table) PendingWrites() []Content {
	var contents []Content
	for content, e := range t.entries {
		if e.pendingWrite {
			contents = append(contents, content)
		}
	}
	return contents
}

// PendingChange returns the pending write of a request; false if there is none.
func (t *Table) PendingChange(content Content) (Change, bool) {
	e := t.entries[content]
	if e == nil || !e.pendingWrite {
		return Change{}, false
	}
	if e.cleared && e.Written.IsZero() {
		delete(t.entries, content)
		return Change{}, false
	}
	return e.change(content), true
}

func (e *entry) change(content Content) Change {
	return Change{Content: content, Expected: e.Written, Record: e.Record, Remove: e.cleared}
}

// MarkWritten records that a change was written at a position of the store.
func (t *Table) MarkWritten(now time.Duration, change Change, written position.Position) {
	e := t.entries[change.Content]
	switch {
	case e == nil:
	case change.Remove:
		delete(t.entries, change.Content)
	default:
		e.Written = position.Max(e.Written, written)
		e.pendingWrite = e.cleared || !e.equal(change.Record)
	}
}

// ApplyStored merges a record read from the store. Information of this node that the store lacks
// stays pending for a write. It reports whether the request became held.
func (t *Table) ApplyStored(now time.Duration, content Content, stored StoredRecord) bool {
	e := t.entries[content]
	if e == nil {
		if !t.makeRoom(now) {
			return false
		}
		e = newEntry(stored, now)
		t.entries[content] = e
		t.observeCrashes(now, e, false)
		t.updateHold(e)
		return e.Held
	}
	if !e.Written.Before(stored.Written) {
		return false
	}
	merged := mergeRecords(stored.Record, e.Record)
	if trialEnded := stored.Trial == t.config.Self && e.Trial == ""; trialEnded {
		merged.Trial = ""
	}
	if !merged.equal(e.Record) {
		e.changedAt = now
	}
	wasHeld := e.Held
	e.StoredRecord = StoredRecord{Record: merged, Written: stored.Written}
	t.observeCrashes(now, e, false)
	t.updateHold(e)
	e.pendingWrite = e.cleared || !e.equal(stored.Record)
	return e.Held && !wasHeld
}

// Remove records that the store no longer has a record of a request, as of the given position; a
// record that was written later stays. A request that was held is tried before it runs again,
// because the leaf software may still have the fault. Remove reports whether the request was held.
func (t *Table) Remove(now time.Duration, content Content, removed position.Position) bool {
	e := t.entries[content]
	if e == nil || e.Written.IsZero() || removed.Before(e.Written) {
		return false
	}
	if !e.Held || e.cleared {
		delete(t.entries, content)
		return false
	}
	reset := newEntry(StoredRecord{Record: Record{Route: e.Route, Crashes: slices.Clone(e.Crashes), Odds: 1}}, now)
	for index := range reset.Crashes {
		reset.Crashes[index].Chance = 0 // its trials are over
	}
	reset.observed = e.observed
	t.entries[content] = reset
	return true
}

// Forget records that the store has no record of a request now; see Remove.
func (t *Table) Forget(now time.Duration, content Content) bool {
	e := t.entries[content]
	return e != nil && t.Remove(now, content, e.Written)
}

// ApplyAll applies a complete listing of the records in the store.
func (t *Table) ApplyAll(now time.Duration, stored map[Content]StoredRecord) {
	for content := range t.entries {
		if _, ok := stored[content]; !ok {
			t.Forget(now, content)
		}
	}
	t.ApplySome(now, stored)
}

// ApplyRestored applies a complete listing of the records in a store that was restored from a
// backup. The records that it lacks were lost, and stay pending until they are written again.
func (t *Table) ApplyRestored(now time.Duration, stored map[Content]StoredRecord) {
	for content, e := range t.entries {
		if _, ok := stored[content]; !ok && !e.Written.IsZero() {
			e.Written, e.pendingWrite = position.Position{}, true
		}
	}
	t.ApplySome(now, stored)
}

// ApplySome applies records that the store held at some time, possibly not all of them.
func (t *Table) ApplySome(now time.Duration, records map[Content]StoredRecord) {
	for content, stored := range records {
		t.ApplyStored(now, content, stored)
	}
}
