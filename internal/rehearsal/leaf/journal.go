package leaf

import (
	"sync"

	"github.com/micaplank/micaplank/internal/rows"
)

// Inserted is one row that an insert added.
type Inserted struct {
	RequestID string `json:"request_id"`
	// Version is the index version that the insert ran at. The row shows in
	// later versions: a version never changes.
	Version uint64   `json:"version"`
	Row     rows.Row `json:"row"`
}

// journal lists the inserted rows in order.
type journal struct {
	mutex   sync.Mutex
	entries []Inserted
}

func (j *journal) add(entries ...Inserted) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.entries = append(j.entries, entries...)
}

func (j *journal) snapshot() []Inserted {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]Inserted{}, j.entries...)
}
