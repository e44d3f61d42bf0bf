package quarantine

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/micaplank/micaplank/internal/position"
)

// Record is the shared state of a request under which leaves crashed.
type Record struct {
	// Route is the name of the request's route, for operators.
	Route string `json:"route"`
	// Crashes lists leaves that crashed under the request, at most maxCrashes.
	Crashes []Crash `json:"ended"`
	// Trials is the number of trials that were started. Trial names the process that is running a
	// trial now; it is empty while no trial is running.
	Trials int    `json:"trials"`
	Trial  string `json:"trial,omitempty"`
	// Odds is the likelihood ratio of the trials' crashes: how much likelier they are if the
	// request crashes leaves than if the leaves crashed independently of it. It is 1 without a
	// trial.
	Odds float64 `json:"odds"`
	// Held reports whether every node refuses the request. Odds and Held follow from Crashes if a
	// trial observed one of these; they are written for nodes that do not know Crash.Chance.
	Held bool `json:"held"`
}

// Crash is the crash of a leaf during one attempt of a request.
type Crash struct {
	// Leaf identifies the crash by the incarnation of the leaf (see IncarnationTracker). An
	// incarnation crashes only once: two nodes that lose connections to it at the same time report
	// the same crash.
	Leaf    string `json:"leaf"`
	Request string `json:"request"`
	// Chance is the probability, above 0 and up to 1, that the leaf would have crashed under any
	// request. It is set if a trial observed the crash, and zero otherwise.
	Chance float64 `json:"chance,omitempty"`
	// Survived reports whether the leaf was found to be still running, so that it did not crash.
	Survived bool `json:"survived,omitempty"`
}

// sameLeaf reports whether both values describe the same crash, as seen by two nodes or two
// attempts.
func (c Crash) sameLeaf(other Crash) bool { return c.Leaf == other.Leaf }

const (
	// maxCrashes bounds the crashes in a record. forward.quarantine_after, the number of crashes
	// before the first trial, is at most 8.
	maxCrashes = 8
	// maxNameBytes bounds each name in a crash, so that a record takes at most 1.8 KB whatever
	// callers and leaves send.
	maxNameBytes = 64
)

// NewCrash returns the crash of a leaf during an attempt. It truncates names to 64 bytes.
func NewCrash(leaf, request string) Crash {
	return Crash{Leaf: leaf[:min(len(leaf), maxNameBytes)], Request: request[:min(len(request), maxNameBytes)]}
}

// Encode returns the record as it is stored.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes a stored record and checks its bounds.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fmt.Errorf("decode quarantine record: %w", err)
	}
	valid := record.Trials >= 0 && record.Odds >= 1 && len(record.Crashes) <= maxCrashes
	if !valid {
		return Record{}, fmt.Errorf("decode quarantine record: %d trials, odds %v or %d crashes out of bounds", record.Trials, record.Odds, len(record.Crashes))
	}
	return record, nil
}

// StoredRecord is a record together with its position in the store.
type StoredRecord struct {
	Record
	// Written is the position at which the key was written; zero if the key does not exist.
	Written position.Position
}

// Change is a conditional write of a request's record. It applies only if the key was last
// written at the position Expected, or does not exist if that is zero.
type Change struct {
	Content  Content
	Expected position.Position
	Record   Record
	// Remove deletes the key instead of writing the record.
	Remove bool
}

// AppliedIn reports whether the store is already in the state that the change asks for.
func (c Change) AppliedIn(current StoredRecord) bool {
	if c.Remove || current.Written.IsZero() {
		return c.Remove && current.Written.IsZero()
	}
	return current.equal(c.Record)
}

// withCrashes returns the record with the given crashes added. Crashes that the record already
// lists gain the new information about them.
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

// addCrash adds a crash. In a full record a crash that a trial observed replaces weaker evidence: a
// leaf that survived, or a crash that no trial observed.
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

// countCrashedLeaves returns the number of distinct leaves that crashed.
func (r Record) countCrashedLeaves() int {
	leaves := make(map[string]bool, len(r.Crashes))
	for _, crash := range r.Crashes {
		if !crash.Survived {
			leaves[crash.Leaf] = true
		}
	}
	return len(leaves)
}

// hasTrialCrash reports whether a trial observed one of the crashes, so that the odds follow from
// Crashes.
func (r Record) hasTrialCrash() bool {
	return slices.ContainsFunc(r.Crashes, func(crash Crash) bool { return crash.Chance > 0 })
}

// computeTrialOdds returns the likelihood ratio of the crashes that trials observed. Each leaf
// counts once.
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

// countSurvivedTrials returns the number of trials whose leaf survived.
func (r Record) countSurvivedTrials() int {
	count := 0
	for _, crash := range r.Crashes {
		if crash.Chance > 0 && crash.Survived {
			count++
		}
	}
	return count
}

// mergeRecords combines the stored record with the record of this node. It keeps the information of
// both, except for the running trial, for which the store is authoritative.
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

// equal reports whether two records are equivalent. It ignores Odds and Held where they follow from
// the crashes: nodes may differ in which leaves they believe to have survived.
func (r Record) equal(other Record) bool {
	equalFields := r.Route == other.Route && slices.Equal(r.Crashes, other.Crashes) && r.Trials == other.Trials && r.Trial == other.Trial
	return equalFields && (r.hasTrialCrash() || r.Odds == other.Odds && r.Held == other.Held)
}
