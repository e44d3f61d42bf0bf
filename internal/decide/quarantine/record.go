package quarantine

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Record is what all nodes know together of a request under which leaves ended.
type Record struct {
	// Route is the name of its route, for operators.
	Route string `json:"route"`
	// Ended lists leaves that ended under it, maxEnded at most.
	Ended []End `json:"ended"`
	// Trials is how many times it was tried on one leaf alone, and Trial names the
	// process that tries it now; empty if none does.
	Trials int    `json:"trials"`
	Trial  string `json:"trial,omitempty"`
	// Odds is how many times likelier the ends of its trials are if it ends leaves
	// than if they ended by themselves.
	Odds float64 `json:"odds"`
	// Held says that it gets no leaf.
	Held bool `json:"held"`
}

// End is the end of a leaf under one try of a request. A leaf that starts again under
// the name that it had may end under the next try, too; two nodes that see the same
// end with a try each count it as two, which only has the request tried sooner.
type End struct {
	Leaf    string `json:"leaf"`
	Request string `json:"request"`
}

const (
	// maxEnded bounds the ends that are named: they only need to be enough for a trial.
	maxEnded = 8
	// maxName bounds the names in them, in bytes, whatever callers and leaves send.
	maxName = 64
)

// NewEnd returns the end of a leaf under a try.
func NewEnd(leaf, request string) End {
	return End{Leaf: leaf[:min(len(leaf), maxName)], Request: request[:min(len(request), maxName)]}
}

// Encode returns the value of the record in the store.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads the value of a record.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fmt.Errorf("record of a request: %w", err)
	}
	valid := record.Trials >= 0 && record.Odds >= 1 && len(record.Ended) <= maxEnded
	if !valid {
		return Record{}, fmt.Errorf("record of a request: a field is out of its bounds")
	}
	return record, nil
}

// Known is a record as the store has it.
type Known struct {
	Record
	// Revision is that of the key in the store; zero if it is not there.
	Revision uint64
}

// Change is what is to be done to the record of a request, if its key is still at
// the revision Former; zero if it shall not be there.
type Change struct {
	Content Content
	Former  uint64
	Record  Record
	// Remove takes the key away in place of writing the record.
	Remove bool
}

// Done reports whether the store has what the change was to bring about.
func (c Change) Done(current Known) bool {
	if c.Remove || current.Revision == 0 {
		return c.Remove && current.Revision == 0
	}
	return current.equal(c.Record)
}

// with returns the record with more leaves that ended.
func (r Record) with(ended []End) Record {
	r.Ended = slices.Clone(r.Ended)
	for _, one := range ended {
		if len(r.Ended) < maxEnded && !slices.Contains(r.Ended, one) {
			r.Ended = append(r.Ended, one)
		}
	}
	return r
}

// merged returns what two nodes know together. Nothing that either learned is lost,
// except the trial under way: the store has the last word on that.
func merged(stored, own Record) Record {
	both := stored.with(own.Ended)
	both.Trials = max(stored.Trials, own.Trials)
	both.Odds = math.Max(stored.Odds, own.Odds)
	both.Held = stored.Held || own.Held
	if both.Route == "" {
		both.Route = own.Route
	}
	return both
}

func (r Record) equal(other Record) bool {
	return r.Route == other.Route && slices.Equal(r.Ended, other.Ended) && r.Trials == other.Trials &&
		r.Trial == other.Trial && r.Odds == other.Odds && r.Held == other.Held
}
