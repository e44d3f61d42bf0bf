package quarantine

import "time"

// newEntry returns the initial state of a request.
func newEntry(stored StoredRecord, now time.Duration) *entry {
	return &entry{StoredRecord: stored, changedAt: now, observed: make(map[string]observation)}
}

// withLocalSurvivors returns the record with the leaves marked that this node found to have
// survived.
func (e *entry) withLocalSurvivors() Record {
	record := e.Record
	cloned := false
	for index, crash := range record.Crashes {
		if crash.Survived || !e.observed[crash.Leaf].survived {
			continue
		}
		if !cloned {
			record.Crashes, cloned = append([]Crash(nil), record.Crashes...), true
		}
		record.Crashes[index].Survived = true
	}
	return record
}

// observeCrashes adds an observation of each new crash of a record. Local reports whether this node
// observed the crashes itself.
func (t *Table) observeCrashes(now time.Duration, e *entry, local bool) {
	for _, crash := range e.Crashes {
		if _, ok := e.observed[crash.Leaf]; ok {
			continue
		}
		e.observed[crash.Leaf] = observation{knownSince: now, local: local}
		if !local {
			t.incarnations.RecordRemoteLoss(now, crash.Leaf)
		}
	}
}

// updateHold derives from the crashes whether the request is held. A record without a crash that a
// trial observed keeps its own value of Held: a node that does not know Crash.Chance wrote it.
func (t *Table) updateHold(e *entry) {
	if !e.hasTrialCrash() {
		return
	}
	e.Odds = e.withLocalSurvivors().computeTrialOdds()
	e.Held = e.Trials >= t.config.MinTrials && e.Odds >= t.config.MinOdds
}

// heldUntil returns the end of the hold. If the trials crashed leaves that are gone, the hold lasts
// for Config.HoldDuration; otherwise until the announcements of these leaves have expired or the
// leaves are known to have survived.
func (t *Table) heldUntil(e *entry) time.Duration {
	for _, crash := range e.Crashes {
		if observed := e.observed[crash.Leaf]; crash.Chance > 0 && observed.announced && !observed.survived {
			return observed.knownSince + expiryHeartbeats*t.config.HeartbeatInterval + maxAnnounceDelay
		}
	}
	return e.changedAt + t.config.HoldDuration
}

// RecordLoss records an attempt whose connection was lost before the first byte of an answer; see
// IncarnationTracker.RecordLoss. It returns the identifier of the crash, or false if the loss does
// not count as a crash.
func (t *Table) RecordLoss(leaf string, sent, lost time.Duration) (string, bool) {
	return t.incarnations.RecordLoss(leaf, sent, lost)
}

// RecordLeafAnswer records an attempt that a leaf answered, for any request.
func (t *Table) RecordLeafAnswer(leaf string, sent time.Duration) {
	t.incarnations.RecordAnswer(leaf, sent)
}

// SetStoreUnavailable records whether the store is unavailable.
func (t *Table) SetStoreUnavailable(now time.Duration, unavailable bool) {
	t.incarnations.SetStoreUnavailable(now, unavailable)
}

// UnresolvedLeaves returns the incarnations of leaves that are not known to have survived.
func (t *Table) UnresolvedLeaves() []string {
	var leaves []string
	for _, e := range t.entries {
		for _, crash := range e.Crashes {
			if !crash.Survived && !e.observed[crash.Leaf].survived {
				leaf, _ := parseCrashID(crash.Leaf)
				leaves = append(leaves, leaf)
			}
		}
	}
	return leaves
}

// Survivor is a leaf that was reported to have crashed under a request, and survived.
type Survivor struct {
	Content Content
	Route   string
	Leaf    string
	// Released reports whether the survival ended the hold of the request.
	Released bool
}

// DetectSurvivors determines which leaves of UnresolvedLeaves have survived, given which of them
// are announced. Survivors of crashes that this node observed are written to the store; other nodes
// determine the rest on their own.
func (t *Table) DetectSurvivors(now time.Duration, announced map[string]bool) []Survivor {
	var survivors []Survivor
	for content, e := range t.entries {
		for index := range e.Crashes {
			crash := &e.Crashes[index]
			observed := e.observed[crash.Leaf]
			if crash.Survived || observed.survived {
				continue
			}
			leaf, _ := parseCrashID(crash.Leaf)
			observed.announced = announced[leaf]
			observed.survived = observed.announced && t.incarnations.HasSurvived(now, crash.Leaf, observed.knownSince, t.config.HeartbeatInterval)
			e.observed[crash.Leaf] = observed
			if !observed.survived {
				continue
			}
			if observed.local {
				crash.Survived, e.pendingWrite = true, true
			}
			wasHeld := e.Held
			t.updateHold(e)
			survivors = append(survivors, Survivor{Content: content, Route: e.Route, Leaf: leaf, Released: wasHeld && !e.Held})
		}
	}
	return survivors
}
