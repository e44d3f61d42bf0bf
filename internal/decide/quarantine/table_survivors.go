package quarantine

import "time"

// newEntry returns what a node knows of a request at first.
func newEntry(stored Known, now time.Duration) *entry {
	return &entry{Known: stored, changedAt: now, observed: make(map[string]observation)}
}

// believed returns the record with what this node knows of leaves that lived on.
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

// see takes in the crashes of a record that this node did not know of. Own says that it
// saw them itself.
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

// settle concludes from the crashes whether the request is held. A record without the
// crash of a trial says that by itself: it was written by a node that does not tell.
func (t *Table) updateHold(e *entry) {
	if !e.hasTrialCrash() {
		return
	}
	e.Odds = e.withLocalSurvivors().computeTrialOdds()
	e.Held = e.Trials >= t.config.MinTrials && e.Odds >= t.config.MinOdds
}

// heldUntil returns until when a request is held: for long if its trials crashed leaves
// that are gone, and else until those have lapsed or are known to live on.
func (t *Table) heldUntil(e *entry) time.Duration {
	for _, crash := range e.Crashes {
		if observed := e.observed[crash.Leaf]; crash.Chance > 0 && observed.announced && !observed.survived {
			return observed.knownSince + expiryHeartbeats*t.config.Heartbeat + maxAnnounceDelay
		}
	}
	return e.changedAt + t.config.HoldDuration
}

// Lost takes in an attempt at a leaf whose connection was lost before a byte of its
// answer; see Starts.Lost. It returns the name of the crash; false if it was none.
func (t *Table) Lost(leaf string, sent, lost time.Duration) (string, bool) {
	return t.incarnations.RecordLoss(leaf, sent, lost)
}

// LeafAnswered takes in an attempt that a leaf answered, whatever the request.
func (t *Table) LeafAnswered(leaf string, sent time.Duration) {
	t.incarnations.RecordAnswer(leaf, sent)
}

// SetStoreAway says whether the store does not answer.
func (t *Table) SetStoreAway(now time.Duration, unavailable bool) {
	t.incarnations.SetStoreUnavailable(now, unavailable)
}

// Suspects returns the leaves that may have crashed or lived on, by the name of their
// start.
func (t *Table) Suspects() []string {
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

// Survivor is a leaf that lived on, of which it was said that it crashed under a request.
type Survivor struct {
	Content Content
	Route   string
	Leaf    string
	// Released says that the request was held, and is not any more.
	Released bool
}

// Review looks which leaves of Suspects have lived on, given which of them are announced.
// What this node said itself is to be written; the others each look for themselves.
func (t *Table) Review(now time.Duration, announced map[string]bool) []Survivor {
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
			observed.survived = observed.announced && t.incarnations.HasSurvived(now, crash.Leaf, observed.knownSince, t.config.Heartbeat)
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
