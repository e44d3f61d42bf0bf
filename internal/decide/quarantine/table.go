package quarantine

import "time"

// Verdict is what may be done with a request.
type Verdict int

// Verdicts on a request.
const (
	// Run allows the request.
	Run Verdict = iota
	// Trial allows the request on a single leaf, after the change has been written.
	Trial
	// Refuse means that the request must not run now.
	Refuse
)

// Decision is a Verdict with its details.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which the client may retry, with Refuse.
	RetryAfter time.Duration
	// Held reports, with Refuse, that the request is held, and TrialRunning that a trial of the
	// request is running.
	Held, TrialRunning bool
	// Change must be written before a Trial begins.
	Change Change
}

// entry is the state of one request at this node.
type entry struct {
	StoredRecord
	// changedAt is when this node last saw the record change.
	changedAt time.Duration
	// pendingWrite is set while the record holds information that the store lacks.
	pendingWrite bool
	// cleared is set once a leaf has answered the request, until the store has been updated.
	cleared bool
	// observed holds what this node knows of each crash beyond the record, by Crash.Leaf.
	observed map[string]observation
}

// observation is what this node knows of a crash beyond the record.
type observation struct {
	// knownSince is when this node learned of the crash. Local reports whether this node observed
	// the crash itself.
	knownSince time.Duration
	local      bool
	// announced reports whether the leaf was announced at the last check. Survived reports whether
	// this node found the leaf to be still running.
	announced, survived bool
}

// Table holds the requests under which leaves crashed, as known to one node. Times are durations on
// the node's clock. It is not safe for concurrent use.
type Table struct {
	config       Config
	entries      map[Content]*entry
	incarnations *IncarnationTracker
	// tokens is the number of new requests that this node may report, as of tokensUpdatedAt.
	tokens          float64
	tokensUpdatedAt time.Duration
	nodes           int
}

// NewTable returns an empty Table.
func NewTable(config Config) *Table {
	return &Table{config: config, entries: make(map[Content]*entry), incarnations: NewIncarnationTracker(), tokens: config.ReportBurst, nodes: 1}
}

// SetNodes sets the number of nodes that share the report rate.
func (t *Table) SetNodes(nodes int) { t.nodes = max(nodes, 1) }

// Len returns the number of requests in the table, and how many of them are held.
func (t *Table) Len() (total, held int) {
	for _, e := range t.entries {
		if e.Held {
			held++
		}
	}
	return len(t.entries), held
}

// Admit decides on a request. If the verdict is Trial, the table counts the trial as started.
func (t *Table) Admit(now time.Duration, content Content) Decision {
	e := t.entries[content]
	switch {
	case e == nil, e.cleared:
		return Decision{}
	case e.Held:
		return Decision{Verdict: Refuse, Held: true, RetryAfter: max(t.heldUntil(e)-now, t.config.TrialPause)}
	case e.withLocalSurvivors().countCrashedLeaves() < t.config.MinCrashes:
		return Decision{}
	case e.Trial != "" && now < e.changedAt+t.config.TrialTimeout:
		return Decision{Verdict: Refuse, TrialRunning: true, RetryAfter: t.config.TrialRetryAfter}
	}
	if next := e.changedAt + t.trialPause(e.Trials-e.withLocalSurvivors().countSurvivedTrials()); now < next {
		return Decision{Verdict: Refuse, RetryAfter: next - now}
	}
	e.Trials++
	e.Trial = t.config.Self
	e.changedAt, e.pendingWrite = now, true
	return Decision{Verdict: Trial, Change: e.change(content)}
}

// CancelTrial cancels the trial that Admit started, because its write failed or it did not reach a
// leaf. The trial does not count, and the next one may start immediately.
func (t *Table) CancelTrial(content Content) {
	e := t.entries[content]
	if e == nil || e.Trial != t.config.Self {
		return
	}
	e.Trial = ""
	e.Trials--
	e.pendingWrite = true
}

// trialPause returns the pause after the given number of trials. There is none before the second
// trial: a harmless request is answered sooner, and a harmful one is held sooner.
func (t *Table) trialPause(trials int) time.Duration {
	if trials < t.config.MinTrials {
		return 0
	}
	return min(t.config.TrialPause<<min(trials-t.config.MinTrials, 10), t.config.MaxTrialPause)
}

// RecordCrashes records leaves that crashed under a request that no leaf answered. It reports
// whether the record must be written.
func (t *Table) RecordCrashes(now time.Duration, content Content, route string, crashes []Crash) bool {
	e := t.entries[content]
	if e == nil {
		if !t.takeToken(now) || !t.makeRoom(now) {
			return false
		}
		e = newEntry(StoredRecord{Record: Record{Route: route, Odds: 1}}, 0)
		t.entries[content] = e
	}
	if e.cleared {
		return false
	}
	merged := e.withCrashes(crashes)
	if merged.equal(e.Record) {
		return false
	}
	e.Record = merged
	t.observeCrashes(now, e, true)
	e.changedAt, e.pendingWrite = now, true
	return true
}

// takeToken takes a token for the report of a new request, if one is left.
func (t *Table) takeToken(now time.Duration) bool {
	earned := (now - t.tokensUpdatedAt).Seconds() * t.config.FleetReportRate / float64(t.nodes)
	burst := max(min(t.config.ReportBurst, t.config.FleetReportBurst/float64(t.nodes)), 1)
	t.tokens = min(t.tokens+earned, burst)
	t.tokensUpdatedAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// makeRoom makes room for one more request, and reports whether there is any. It drops the entry
// with the oldest change, except for held requests.
func (t *Table) makeRoom(now time.Duration) bool {
	if len(t.entries) < t.config.MaxEntries {
		return true
	}
	t.Expire(now)
	var oldest Content
	var oldestEntry *entry
	for content, e := range t.entries {
		if !e.Held && (oldestEntry == nil || e.changedAt < oldestEntry.changedAt) {
			oldest, oldestEntry = content, e
		}
	}
	if oldestEntry == nil {
		return false
	}
	delete(t.entries, oldest)
	return len(t.entries) < t.config.MaxEntries
}

// Expire drops leaf losses older than RecordTTL, and requests that the store no longer lists and
// that have not changed for Config.Retention.
func (t *Table) Expire(now time.Duration) {
	t.incarnations.Expire(now)
	for content, e := range t.entries {
		if e.Written.IsZero() && !e.pendingWrite && now >= e.changedAt+t.config.Retention {
			delete(t.entries, content)
		}
	}
}

// RecordTrialCrash records that the trial of this node crashed its leaf. chance is the probability,
// above 0 and up to 1, that a harmless request would have met the same crash. It reports whether
// the request became held.
func (t *Table) RecordTrialCrash(now time.Duration, content Content, crashes []Crash, chance float64) bool {
	e := t.entries[content]
	if e == nil || e.cleared {
		return false
	}
	for index := range crashes {
		crashes[index].Chance = chance
	}
	e.Record = e.withCrashes(crashes)
	t.observeCrashes(now, e, true)
	wasHeld := e.Held
	t.updateHold(e)
	t.endTrial(now, e)
	return e.Held && !wasHeld
}

// RecordInconclusiveTrial records that the trial of this node reached a leaf, and ended with
// neither a crash nor an answer.
func (t *Table) RecordInconclusiveTrial(now time.Duration, content Content) {
	if e := t.entries[content]; e != nil {
		t.endTrial(now, e)
	}
}

func (t *Table) endTrial(now time.Duration, e *entry) {
	if e.Trial == t.config.Self {
		e.Trial = ""
	}
	e.changedAt, e.pendingWrite = now, true
}

// RecordAnswer records that a leaf answered a request, which clears it. It reports whether the
// store must be updated.
func (t *Table) RecordAnswer(content Content) bool {
	e := t.entries[content]
	if e == nil || e.cleared {
		return false
	}
	if e.Written.IsZero() && !e.pendingWrite {
		delete(t.entries, content)
		return false
	}
	e.cleared, e.pendingWrite = true, true
	return true
}
