package quarantine

import "time"

// Verdict is what may be done with a request.
type Verdict int

// The verdicts.
const (
	// Run means that nothing speaks against the request.
	Run Verdict = iota
	// Trial means that it may run on one leaf alone, once the change is written.
	Trial
	// Refuse means that it may not run now.
	Refuse
)

// Decision is a Verdict with what goes with it.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which the client may retry, with Refuse.
	RetryAfter time.Duration
	// Held says that the request is held, with Refuse, and TrialRunning that a trial of
	// it is running.
	Held, TrialRunning bool
	// Change is to be written before a Trial begins.
	Change Change
}

// entry is what a node knows of one request.
type entry struct {
	Known
	// changed is when the record changed last, as this node saw it.
	changedAt time.Duration
	// unwritten is set while the record says more than the store has.
	pendingWrite bool
	// cleared is set once a leaf has answered the request, until the store knows.
	cleared bool
	// seen says what this node knows of each crash beyond the record, by Crash.Leaf.
	observed map[string]observation
}

// sight is what this node knows of a crash beyond the record.
type observation struct {
	// since is when it heard of the crash, and own says that it saw the crash itself.
	knownSince time.Duration
	local      bool
	// announced says that the leaf was announced when it was looked at last, and
	// survived that it lived on by what this node saw.
	announced, survived bool
}

// Table holds the requests under which leaves crashed, as one node knows them. Times
// are durations on the node's clock. It is not safe for concurrent use.
type Table struct {
	config       Config
	entries      map[Content]*entry
	incarnations *IncarnationTracker
	// tokens are the new requests that this node may report, as of filled.
	tokens          float64
	tokensUpdatedAt time.Duration
	nodes           int
}

// NewTable returns an empty Table.
func NewTable(config Config) *Table {
	return &Table{config: config, entries: make(map[Content]*entry), incarnations: NewIncarnationTracker(), tokens: config.ReportBurst, nodes: 1}
}

// SetNodes says how many nodes share the reports.
func (t *Table) SetNodes(nodes int) { t.nodes = max(nodes, 1) }

// Len returns the number of requests that are known, and how many of them are held.
func (t *Table) Len() (total, held int) {
	for _, e := range t.entries {
		if e.Held {
			held++
		}
	}
	return len(t.entries), held
}

// Admit decides on a request. With Trial, the trial counts as started here.
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

// Withdraw takes back the trial that Admit started, since it was not written, or
// reached no leaf: then it does not count, and the next may follow at once.
func (t *Table) Withdraw(content Content) {
	e := t.entries[content]
	if e == nil || e.Trial != t.config.Self {
		return
	}
	e.Trial = ""
	e.Trials--
	e.pendingWrite = true
}

// pause returns the time from the end of a trial to the next. The second may follow
// the first at once: a request that did nothing then gets its answer sooner, and
// another is held sooner.
func (t *Table) trialPause(trials int) time.Duration {
	if trials < t.config.MinTrials {
		return 0
	}
	return min(t.config.TrialPause<<min(trials-t.config.MinTrials, 10), t.config.MaxTrialPause)
}

// Suspect takes in that leaves crashed under a request, and none answered it. It
// reports whether that is to be written.
func (t *Table) Suspect(now time.Duration, content Content, route string, crashes []Crash) bool {
	e := t.entries[content]
	if e == nil {
		if !t.takeToken(now) || !t.makeRoom(now) {
			return false
		}
		e = newEntry(Known{Record: Record{Route: route, Odds: 1}}, 0)
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

// takeToken takes a token for the report of a new request, if there is one.
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

// makeRoom makes room for one more request, and reports whether there is any. The one
// that changed longest ago is dropped, but none that is held.
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

// Expire drops what was remembered for long enough of requests that the store does
// not list any more, and of leaves that were lost.
func (t *Table) Expire(now time.Duration) {
	t.incarnations.Expire(now)
	for content, e := range t.entries {
		if e.Revision == 0 && !e.pendingWrite && now >= e.changedAt+t.config.Retention {
			delete(t.entries, content)
		}
	}
}

// TrialCrashed takes in that the trial of this node crashed its leaf. ByChance is how
// likely that was, above 0 to 1, if the request does nothing. It reports whether the
// request became held by it.
func (t *Table) TrialCrashed(now time.Duration, content Content, crashes []Crash, chance float64) bool {
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

// TrialInconclusive takes in that the trial of this node reached a leaf, and ended with
// neither a crash nor an answer.
func (t *Table) TrialInconclusive(now time.Duration, content Content) {
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

// Answered takes in that a leaf answered a request, which therefore crashes none. It
// reports whether that is to be written.
func (t *Table) Answered(content Content) bool {
	e := t.entries[content]
	if e == nil || e.cleared {
		return false
	}
	if e.Revision == 0 && !e.pendingWrite {
		delete(t.entries, content)
		return false
	}
	e.cleared, e.pendingWrite = true, true
	return true
}
