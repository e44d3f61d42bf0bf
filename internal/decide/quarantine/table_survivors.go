package quarantine

import "time"

// newEntry returns what a node knows of a request at first.
func newEntry(known Known, now time.Duration) *entry {
	return &entry{Known: known, changed: now, seen: make(map[string]sight)}
}

// believed returns the record with what this node knows of leaves that lived on.
func (e *entry) believed() Record {
	record := e.Record
	cloned := false
	for index, one := range record.Crashes {
		if one.Survived || !e.seen[one.Leaf].survived {
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
func (t *Table) see(now time.Duration, known *entry, own bool) {
	for _, one := range known.Crashes {
		if _, found := known.seen[one.Leaf]; found {
			continue
		}
		known.seen[one.Leaf] = sight{since: now, own: own}
		if !own {
			t.starts.Named(now, one.Leaf)
		}
	}
}

// settle concludes from the crashes whether the request is held. A record without the
// crash of a trial says that by itself: it was written by a node that does not tell.
func (t *Table) settle(known *entry) {
	if !known.trialled() {
		return
	}
	known.Odds = known.believed().oddsOfTrials()
	known.Held = known.Trials >= t.config.MinTrials && known.Odds >= t.config.MinOdds
}

// heldUntil returns until when a request is held: for long if its trials crashed leaves
// that are gone, and else until those have lapsed or are known to live on.
func (t *Table) heldUntil(known *entry) time.Duration {
	for _, one := range known.Crashes {
		if seen := known.seen[one.Leaf]; one.Chance > 0 && seen.announced && !seen.survived {
			return seen.since + lapseHeartbeats*t.config.Heartbeat + announceTime
		}
	}
	return known.changed + t.config.HoldTime
}

// Lost takes in an attempt at a leaf whose connection was lost before a byte of its
// answer; see Starts.Lost. It returns the name of the crash; false if it was none.
func (t *Table) Lost(leaf string, sent, lost time.Duration) (string, bool) {
	return t.starts.Lost(leaf, sent, lost)
}

// LeafAnswered takes in an attempt that a leaf answered, whatever the request.
func (t *Table) LeafAnswered(leaf string, sent time.Duration) { t.starts.Answered(leaf, sent) }

// SetStoreAway says whether the store does not answer.
func (t *Table) SetStoreAway(now time.Duration, away bool) { t.starts.SetStoreAway(now, away) }

// Suspects returns the leaves that may have crashed or lived on, by the name of their
// start.
func (t *Table) Suspects() []string {
	var leaves []string
	for _, known := range t.entries {
		for _, one := range known.Crashes {
			if !one.Survived && !known.seen[one.Leaf].survived {
				leaf, _ := leafOf(one.Leaf)
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
	for content, known := range t.entries {
		for index := range known.Crashes {
			one := &known.Crashes[index]
			seen := known.seen[one.Leaf]
			if one.Survived || seen.survived {
				continue
			}
			leaf, _ := leafOf(one.Leaf)
			seen.announced = announced[leaf]
			seen.survived = seen.announced && t.starts.Survived(now, one.Leaf, seen.since, t.config.Heartbeat)
			known.seen[one.Leaf] = seen
			if !seen.survived {
				continue
			}
			if seen.own {
				one.Survived, known.unwritten = true, true
			}
			held := known.Held
			t.settle(known)
			survivors = append(survivors, Survivor{Content: content, Route: known.Route, Leaf: leaf, Released: held && !known.Held})
		}
	}
	return survivors
}
