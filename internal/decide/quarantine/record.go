package quarantine

import (
	"encoding/json"
	"fmt"
	"maps"
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
	// Held says that every node refuses it. Odds and Held follow from Crashes where one of
	// these was seen by a trial; they are written for nodes that do not know Crash.Chance.
	Held bool `json:"held"`
}

// Crash is the crash of a leaf under one try of a request.
type Crash struct {
	// Leaf names the start of the leaf that ended (see Starts). It can crash only once:
	// two nodes that lost connections to it in one moment name the same crash.
	Leaf    string `json:"leaf"`
	Request string `json:"request"`
	// Chance is how likely the crash was whatever the request, above 0 to 1, if a trial
	// saw it; zero otherwise.
	Chance float64 `json:"chance,omitempty"`
	// Survived says that the leaf was seen to live on, so that it did not crash.
	Survived bool `json:"survived,omitempty"`
}

// same reports whether two nodes or two tries speak of one crash.
func (c Crash) sameLeaf(other Crash) bool { return c.Leaf == other.Leaf }

const (
	// maxCrashes bounds the crashes that a record names. Not measured: chosen because they
	// only need to be enough for a trial, and forward.quarantine_after is 8 at most.
	maxCrashes = 8
	// maxName bounds the names in them, in bytes, whatever callers and leaves send. Not
	// measured: chosen because a record then takes 1.8 KB at most.
	maxNameBytes = 64
)

// NewCrash returns the crash of a leaf under a try. Longer names are cut to 64 bytes.
func NewCrash(leaf, request string) Crash {
	return Crash{Leaf: leaf[:min(len(leaf), maxNameBytes)], Request: request[:min(len(request), maxNameBytes)]}
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

// withCrashes returns the record with more leaves that crashed. Of a crash that is known,
// what else is known of it is added.
func (r Record) withCrashes(crashes []Crash) Record {
	r.Crashes = slices.Clone(r.Crashes)
	for _, crash := range crashes {
		if index := slices.IndexFunc(r.Crashes, crash.sameLeaf); index >= 0 {
			existing := &r.Crashes[index]
			existing.Chance = max(existing.Chance, crash.Chance)
			existing.Survived = existing.Survived || crash.Survived
			continue
		}
		r.addCrash(crash)
	}
	return r
}

// addCrash adds a crash. If there is no room, it takes the place of one that proves less:
// of a leaf that lived on, or one that no trial saw.
func (r *Record) addCrash(added Crash) {
	if len(r.Crashes) < maxCrashes {
		r.Crashes = append(r.Crashes, added)
		return
	}
	if added.Chance == 0 {
		return
	}
	index := slices.IndexFunc(r.Crashes, func(crash Crash) bool { return crash.Survived })
	if index < 0 {
		index = slices.IndexFunc(r.Crashes, func(crash Crash) bool { return crash.Chance == 0 })
	}
	if index >= 0 {
		r.Crashes[index] = added
	}
}

// crashed returns how many leaves crashed.
func (r Record) countCrashedLeaves() int {
	leaves := make(map[string]bool, len(r.Crashes))
	for _, crash := range r.Crashes {
		if !crash.Survived {
			leaves[crash.Leaf] = true
		}
	}
	return len(leaves)
}

// trialled reports whether a trial saw one of the crashes, so that the odds follow from
// these.
func (r Record) hasTrialCrash() bool {
	return slices.ContainsFunc(r.Crashes, func(crash Crash) bool { return crash.Chance > 0 })
}

// oddsOfTrials returns the odds of the crashes that trials saw. Each leaf counts once.
func (r Record) computeTrialOdds() float64 {
	chances := make(map[string]float64, len(r.Crashes))
	for _, crash := range r.Crashes {
		if crash.Chance > 0 && !crash.Survived {
			chances[crash.Leaf] = max(chances[crash.Leaf], crash.Chance)
		}
	}
	odds := 1.0
	for _, leaf := range slices.Sorted(maps.Keys(chances)) {
		odds /= chances[leaf]
	}
	return odds
}

// survivedTrials returns how many trials ended with a leaf that lived on.
func (r Record) countSurvivedTrials() int {
	count := 0
	for _, crash := range r.Crashes {
		if crash.Chance > 0 && crash.Survived {
			count++
		}
	}
	return count
}

// mergeRecords returns what two nodes know together. Nothing that either learned is lost,
// except the trial under way: the store has the last word on that.
func mergeRecords(stored, local Record) Record {
	merged := stored.withCrashes(local.Crashes)
	merged.Trials = max(stored.Trials, local.Trials)
	merged.Odds = math.Max(stored.Odds, local.Odds)
	merged.Held = stored.Held || local.Held
	if merged.Route == "" {
		merged.Route = local.Route
	}
	return merged
}

// equal reports whether two records say the same. Odds and Held do not count where they
// follow from the crashes: each node has its own view of which leaves lived on.
func (r Record) equal(other Record) bool {
	equalFields := r.Route == other.Route && slices.Equal(r.Crashes, other.Crashes) && r.Trials == other.Trials && r.Trial == other.Trial
	return equalFields && (r.hasTrialCrash() || r.Odds == other.Odds && r.Held == other.Held)
}
