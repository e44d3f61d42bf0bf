package quarantine

import (
	"math"
	"time"
)

// Verdict is what may be done with a request.
type Verdict int

// The verdicts.
const (
	// Pass means that nothing speaks against the request.
	Pass Verdict = iota
	// Trial means that it may run on one leaf alone, once the change is written.
	Trial
	// Refuse means that it gets no leaf now.
	Refuse
)

// Decision is a Verdict with what goes with it.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when the client may come again, with Refuse.
	RetryAfter time.Duration
	// Held says that the request is held, with Refuse, and UnderWay that it is being
	// tried just now.
	Held, UnderWay bool
	// Change is to be written before a Trial begins.
	Change Change
}

// entry is what a node knows of one request.
type entry struct {
	Known
	// changed is when the record changed last, as this node saw it.
	changed time.Duration
	// unwritten is set while the record says more than the store has.
	unwritten bool
	// acquitted is set once a leaf has answered the request, until the store knows.
	acquitted bool
}

// Table holds the requests under which leaves ended, as one node knows them. It is
// not safe for concurrent use.
type Table struct {
	config  Config
	entries map[Content]*entry
	// tokens are the reports of new requests that this node may make, as of filled.
	tokens float64
	filled time.Duration
	nodes  int
}

// NewTable returns an empty Table.
func NewTable(config Config) *Table {
	return &Table{config: config, entries: make(map[Content]*entry), tokens: config.Burst, nodes: 1}
}

// SetNodes says how many nodes share the reports.
func (t *Table) SetNodes(nodes int) { t.nodes = max(nodes, 1) }

// Len returns the number of requests that are known, and how many of them are held.
func (t *Table) Len() (known, held int) {
	for _, one := range t.entries {
		if one.Held {
			held++
		}
	}
	return len(t.entries), held
}

// Admit decides on a request. With Trial, the trial counts as begun here.
func (t *Table) Admit(now time.Duration, content Content) Decision {
	known := t.entries[content]
	switch {
	case known == nil, known.acquitted:
		return Decision{}
	case known.Held:
		return Decision{Verdict: Refuse, Held: true, RetryAfter: max(known.changed+t.config.HoldTime-now, t.config.TrialPause)}
	case len(known.Ended) < t.config.MinEnded:
		return Decision{}
	case known.Trial != "" && now < known.changed+t.config.TrialTime:
		return Decision{Verdict: Refuse, UnderWay: true, RetryAfter: t.config.TrialRetryAfter}
	}
	if next := known.changed + t.pause(known.Trials); now < next {
		return Decision{Verdict: Refuse, RetryAfter: next - now}
	}
	known.Trials++
	known.Trial = t.config.Self
	known.changed, known.unwritten = now, true
	return Decision{Verdict: Trial, Change: known.change(content)}
}

// Withdraw takes back the trial that Admit began, since it was not written, or
// reached no leaf: then it costs nothing, and the next may follow at once.
func (t *Table) Withdraw(content Content) {
	known := t.entries[content]
	if known == nil || known.Trial != t.config.Self {
		return
	}
	known.Trial = ""
	known.Trials--
	known.unwritten = true
}

// pause returns the time from the end of a trial to the next. The second may follow
// the first at once: a request that did nothing then gets its answer sooner, and
// another is held sooner.
func (t *Table) pause(trials int) time.Duration {
	if trials < t.config.MinTrials {
		return 0
	}
	return min(t.config.TrialPause<<min(trials-t.config.MinTrials, 10), t.config.MaxTrialPause)
}

// Suspect takes in that leaves ended under a request, and none answered it. It
// reports whether that is to be written.
func (t *Table) Suspect(now time.Duration, content Content, route string, ended []End) bool {
	known := t.entries[content]
	if known == nil {
		if !t.spend(now) || !t.room(now) {
			return false
		}
		known = &entry{Known: Known{Record: Record{Route: route, Odds: 1}}}
		t.entries[content] = known
	}
	if known.acquitted {
		return false
	}
	grown := known.with(ended)
	if grown.equal(known.Record) {
		return false
	}
	known.Record = grown
	known.changed, known.unwritten = now, true
	return true
}

// spend takes a token for the report of a new request, if there is one.
func (t *Table) spend(now time.Duration) bool {
	earned := (now - t.filled).Seconds() * t.config.Refill / float64(t.nodes)
	burst := max(min(t.config.Burst, t.config.FleetBurst/float64(t.nodes)), 1)
	t.tokens = min(t.tokens+earned, burst)
	t.filled = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// room makes room for one more request. The one that changed longest ago makes way,
// but none that is held.
func (t *Table) room(now time.Duration) bool {
	if len(t.entries) < t.config.MaxEntries {
		return true
	}
	t.Expire(now)
	var oldest Content
	var found *entry
	for content, known := range t.entries {
		if !known.Held && (found == nil || known.changed < found.changed) {
			oldest, found = content, known
		}
	}
	if found == nil {
		return false
	}
	delete(t.entries, oldest)
	return len(t.entries) < t.config.MaxEntries
}

// Expire drops what was remembered for long enough of requests that the store does
// not list any more.
func (t *Table) Expire(now time.Duration) {
	for content, known := range t.entries {
		if known.Revision == 0 && !known.unwritten && now >= known.changed+t.config.Memory {
			delete(t.entries, content)
		}
	}
}

// Tried takes in that the trial of this node ended with its leaf. By chance, that
// is how likely it would have been if the request did nothing. It reports whether
// the request is held since.
func (t *Table) Tried(now time.Duration, content Content, ended []End, byChance float64) bool {
	known := t.entries[content]
	if known == nil || known.acquitted {
		return false
	}
	known.Record = known.with(ended)
	known.Odds /= byChance
	former := known.Held
	known.Held = former || known.Trials >= t.config.MinTrials && known.Odds >= t.config.MinOdds
	t.endTrial(now, known)
	return known.Held && !former
}

// TrialOpen takes in that the trial of this node reached a leaf, and ended without
// telling anything.
func (t *Table) TrialOpen(now time.Duration, content Content) {
	if known := t.entries[content]; known != nil {
		t.endTrial(now, known)
	}
}

func (t *Table) endTrial(now time.Duration, known *entry) {
	if known.Trial == t.config.Self {
		known.Trial = ""
	}
	known.changed, known.unwritten = now, true
}

// Answered takes in that a leaf answered a request, which therefore ends none. It
// reports whether that is to be written.
func (t *Table) Answered(content Content) bool {
	known := t.entries[content]
	if known == nil || known.acquitted {
		return false
	}
	if known.Revision == 0 && !known.unwritten {
		delete(t.entries, content)
		return false
	}
	known.acquitted, known.unwritten = true, true
	return true
}

// Of returns what is known of a request; false if nothing is.
func (t *Table) Of(content Content) (Known, bool) {
	if known := t.entries[content]; known != nil {
		return known.Known, true
	}
	return Known{}, false
}

// Unwritten returns the requests of which the store is to be told.
func (t *Table) Unwritten() []Content {
	var all []Content
	for content, known := range t.entries {
		if known.unwritten {
			all = append(all, content)
		}
	}
	return all
}

// Change returns what the store is to be told of a request, if anything.
func (t *Table) Change(content Content) (Change, bool) {
	known := t.entries[content]
	if known == nil || !known.unwritten {
		return Change{}, false
	}
	if known.acquitted && known.Revision == 0 {
		delete(t.entries, content)
		return Change{}, false
	}
	return known.change(content), true
}

func (e *entry) change(content Content) Change {
	return Change{Content: content, Former: e.Revision, Record: e.Record, Remove: e.acquitted}
}

// Written takes in that a change was done, at a revision.
func (t *Table) Written(now time.Duration, change Change, revision uint64) {
	known := t.entries[change.Content]
	switch {
	case known == nil:
	case change.Remove:
		delete(t.entries, change.Content)
	default:
		known.Revision = max(known.Revision, revision)
		known.unwritten = known.acquitted || !known.equal(change.Record)
	}
}

// Set takes in a record as the store has it. What this node knows beyond it stays,
// and is to be written. It reports whether the request is held since.
func (t *Table) Set(now time.Duration, content Content, stored Known) bool {
	known := t.entries[content]
	if known == nil {
		if !t.room(now) {
			return false
		}
		t.entries[content] = &entry{Known: stored, changed: now}
		return stored.Held
	}
	if stored.Revision <= known.Revision {
		return false
	}
	both := merged(stored.Record, known.Record)
	if ownEnded := stored.Trial == t.config.Self && known.Trial == ""; ownEnded {
		both.Trial = ""
	}
	news := both.Held && !known.Held
	if !both.equal(known.Record) {
		known.changed = now
	}
	known.Known = Known{Record: both, Revision: stored.Revision}
	known.unwritten = known.acquitted || !both.equal(stored.Record)
	return news
}

// Remove takes in that the store has no record of a request any more. One that was
// held is tried first from then on: leaves may have been mended, or not. It reports
// whether the request was held. The revision is that of the news: a record that was
// written since stays.
func (t *Table) Remove(now time.Duration, content Content, revision uint64) bool {
	known := t.entries[content]
	if known == nil || known.Revision == 0 || known.Revision > revision {
		return false
	}
	if !known.Held || known.acquitted {
		delete(t.entries, content)
		return false
	}
	t.entries[content] = &entry{Known: Known{Record: Record{Route: known.Route, Ended: known.Ended, Odds: 1}}, changed: now}
	return true
}

// Replace takes in all records that the store has.
func (t *Table) Replace(now time.Duration, all map[Content]Known) {
	for content := range t.entries {
		if _, listed := all[content]; !listed {
			t.Remove(now, content, math.MaxUint64)
		}
	}
	t.Merge(now, all)
}

// Merge takes in records that the store had at some time.
func (t *Table) Merge(now time.Duration, some map[Content]Known) {
	for content, stored := range some {
		t.Set(now, content, stored)
	}
}
