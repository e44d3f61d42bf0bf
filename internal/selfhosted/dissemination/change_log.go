package dissemination

import (
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
)

// changeLog holds the catalog and the most recent changes that led to it.
type changeLog struct {
	catalog *catalog.Catalog
	// tail holds the most recent changes in order. Unless tail is empty, its last change has the
	// catalog's revision.
	tail       []catalog.Change
	tailLength int
	// checkpoint is the catalog at the last multiple of checkpointInterval that append reached. The
	// consumer resets it to nil.
	checkpoint         *catalog.Catalog
	checkpointInterval uint64
	// broken is set when the next change of the log cannot be applied. This process then does not
	// understand the log and must not serve.
	broken error
}

func newChangeLog(tailLength int, checkpointInterval uint64) changeLog {
	return changeLog{catalog: catalog.Empty(), tailLength: tailLength, checkpointInterval: checkpointInterval}
}

func (l *changeLog) revision() uint64 { return l.catalog.Revision }

// append installs the changes that follow the catalog without a gap and returns them.
func (l *changeLog) append(changes []catalog.Change) []catalog.Change {
	first := len(changes)
	last := first
	for i, change := range changes {
		if change.Revision != l.revision()+1 {
			continue
		}
		next, err := catalog.Apply(l.catalog, change)
		if err != nil {
			l.broken = err
			break
		}
		l.broken = nil
		l.catalog = next
		l.addToTail(change)
		if next.Revision%l.checkpointInterval == 0 {
			l.checkpoint = next
		}
		first, last = min(first, i), i+1
	}
	if first >= last {
		return nil
	}
	return changes[first:last]
}

// addToTail appends a change to tail. It trims tail only when it has reached twice its target
// length, so that copying is rare.
func (l *changeLog) addToTail(change catalog.Change) {
	if len(l.tail) >= 2*l.tailLength {
		l.tail = slices.Clone(l.tail[len(l.tail)-l.tailLength+1:])
	}
	l.tail = append(l.tail, change)
}

// installCheckpoint installs a complete catalog if its revision is higher.
func (l *changeLog) installCheckpoint(checkpoint *catalog.Catalog) bool {
	if checkpoint == nil || checkpoint.Revision <= l.revision() {
		return false
	}
	l.catalog = checkpoint
	l.tail = nil
	l.broken = nil
	return true
}

// changesAfter returns the changes that follow a revision, or false if tail no longer contains all
// of them.
func (l *changeLog) changesAfter(revision uint64) ([]catalog.Change, bool) {
	missing := l.revision() - min(revision, l.revision())
	if missing > uint64(len(l.tail)) {
		return nil, false
	}
	return l.tail[len(l.tail)-int(missing):], true
}

// changeIDAt returns the ID of the change at a revision if it is among the catalog's recent
// changes.
func (l *changeLog) changeIDAt(revision uint64) (string, bool) {
	recent := l.catalog.Recent
	behind := l.revision() - revision
	if revision > l.revision() || behind >= uint64(len(recent)) {
		return "", false
	}
	return recent[len(recent)-1-int(behind)].ID, true
}
