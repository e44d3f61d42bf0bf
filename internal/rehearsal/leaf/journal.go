package leaf

import (
	"sync"

	"github.com/micaplank/micaplank/internal/rows"
)

// InsertedRow is a row that an insert statement added.
type InsertedRow struct {
	RequestID string `json:"request_id"`
	// Version is the index version at which the insert was executed. The row appears only in later
	// versions because a version is immutable.
	Version uint64   `json:"version"`
	Row     rows.Row `json:"row"`
}

// journal holds the inserted rows in order of insertion.
type journal struct {
	mutex   sync.Mutex
	entries []InsertedRow
}

func (j *journal) add(entries ...InsertedRow) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.entries = append(j.entries, entries...)
}

func (j *journal) snapshot() []InsertedRow {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]InsertedRow{}, j.entries...)
}
