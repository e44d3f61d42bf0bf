package dissemination

import (
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
)

// changeLog is the catalog with the recent changes that led to it.
type changeLog struct {
	catalog *catalog.Catalog
	// tail holds the last changes in order; its last one is the catalog's
	// revision unless it is empty.
	tail       []catalog.Change
	tailLength int
	// checkpoint is the catalog at the last multiple of interval that append
	// passed; its taker sets it to nil.
	latest             *catalog.Catalog
	checkpointInterval uint64
	// broken is set when a change that the log contains cannot be applied:
	// this process does not understand it and must not serve.
	broken error
}

func newChangeLog(tailLength int, checkpointInterval uint64) changeLog {
	return changeLog{catalog: catalog.Empty(), tailLength: tailLength, checkpointInterval: checkpointInterval}
}

func (l *changeLog) revision() uint64 { return l.catalog.Revision }

// append installs those of the changes that follow the catalog without a gap
// and returns them.
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
			l.latest = next
		}
		first, last = min(first, i), i+1
	}
	if first >= last {
		return nil
	}
	return changes[first:last]
}

func (l *changeLog) addToTail(change catalog.Change) {
	if len(l.tail) >= 2*l.tailLength {
		l.tail = slices.Clone(l.tail[len(l.tail)-l.tailLength+1:])
	}
	l.tail = append(l.tail, change)
}

// replace installs a whole catalog if its revision is higher.
func (l *changeLog) installCheckpoint(checkpoint *catalog.Catalog) bool {
	if checkpoint == nil || checkpoint.Revision <= l.revision() {
		return false
	}
	l.catalog = checkpoint
	l.tail = nil
	l.broken = nil
	return true
}

// after returns the changes that follow a revision; false if they are not kept.
func (l *changeLog) changesAfter(revision uint64) ([]catalog.Change, bool) {
	missing := l.revision() - min(revision, l.revision())
	if missing > uint64(len(l.tail)) {
		return nil, false
	}
	return l.tail[len(l.tail)-int(missing):], true
}

// idAt returns the id of the change at a revision, if it is remembered.
func (l *changeLog) changeIDAt(revision uint64) (string, bool) {
	recent := l.catalog.Recent
	behind := l.revision() - revision
	if revision > l.revision() || behind >= uint64(len(recent)) {
		return "", false
	}
	return recent[len(recent)-1-int(behind)].ID, true
}
