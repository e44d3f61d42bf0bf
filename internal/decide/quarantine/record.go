package quarantine

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Record is what all nodes know together of a request under which leaves crashed.
type Record struct {
	// Route is the name of its route, for operators.
	Route string `json:"route"`
	// Crashes lists leaves that crashed under it, maxCrashes at most.
	Crashes []Crash `json:"ended"`
	// Trials is how many times it was tried on one leaf alone, and Trial names the
	// process that tries it now; empty if none does.
	Trials int    `json:"trials"`
	Trial  string `json:"trial,omitempty"`
	// Odds is how many times likelier the crashes of its trials are if it crashes leaves
	// than if these crashed by themselves; 1 without a trial.
	Odds float64 `json:"odds"`
	// Held says that every node refuses it.
	Held bool `json:"held"`
}

// Crash is the crash of a leaf under one try of a request. A leaf that restarts under its
// name may crash under the next try, too; two nodes that see the same crash with a try
// each count it as two, which only has the request tried sooner.
type Crash struct {
	Leaf    string `json:"leaf"`
	Request string `json:"request"`
}

const (
	// maxCrashes bounds the crashes that a record names. Not measured: chosen because they
	// only need to be enough for a trial, and forward.quarantine_after is 8 at most.
	maxCrashes = 8
	// maxName bounds the names in them, in bytes, whatever callers and leaves send. Not
	// measured: chosen because a record then takes 1.5 KB at most.
	maxName = 64
)

// NewCrash returns the crash of a leaf under a try. Longer names are cut to 64 bytes.
func NewCrash(leaf, request string) Crash {
	return Crash{Leaf: leaf[:min(len(leaf), maxName)], Request: request[:min(len(request), maxName)]}
}

// Encode returns the value of the record in the store.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads the value of a record.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fmt.Errorf("record of a request: %w", err)
	}
	valid := record.Trials >= 0 && record.Odds >= 1 && len(record.Crashes) <= maxCrashes
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

// withCrashes returns the record with more leaves that crashed.
func (r Record) withCrashes(crashes []Crash) Record {
	r.Crashes = slices.Clone(r.Crashes)
	for _, one := range crashes {
		if len(r.Crashes) < maxCrashes && !slices.Contains(r.Crashes, one) {
			r.Crashes = append(r.Crashes, one)
		}
	}
	return r
}

// mergeRecords returns what two nodes know together. Nothing that either learned is lost,
// except the trial under way: the store has the last word on that.
func mergeRecords(stored, own Record) Record {
	both := stored.withCrashes(own.Crashes)
	both.Trials = max(stored.Trials, own.Trials)
	both.Odds = math.Max(stored.Odds, own.Odds)
	both.Held = stored.Held || own.Held
	if both.Route == "" {
		both.Route = own.Route
	}
	return both
}

func (r Record) equal(other Record) bool {
	return r.Route == other.Route && slices.Equal(r.Crashes, other.Crashes) && r.Trials == other.Trials &&
		r.Trial == other.Trial && r.Odds == other.Odds && r.Held == other.Held
}
