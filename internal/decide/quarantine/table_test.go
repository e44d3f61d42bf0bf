package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/position"
)

var (
	crashingContent = HashContent("h", []byte("GET /bad HTTP/1.1"), nil)
	harmlessContent = HashContent("h", []byte("GET /good HTTP/1.1"), nil)
)

// scenario is a Table with a clock that the test advances.
type scenario struct {
	*testing.T
	table   *Table
	now     time.Duration
	crashes int
}

func newScenario(t *testing.T) *scenario {
	return &scenario{T: t, table: NewTable(DefaultConfig("self"))}
}

// newCrashes returns crashes of new incarnations.
func (s *scenario) newCrashes(count int) []Crash {
	var created []Crash
	for range count {
		s.crashes++
		created = append(created, NewCrash(fmt.Sprint("leaf-", s.crashes), strings.Repeat("a long id", 100)))
	}
	return created
}

func (s *scenario) requireVerdict(content Content, want Verdict) Decision {
	s.Helper()
	got := s.table.Admit(s.now, content)
	if got.Verdict != want {
		s.Fatalf("at %v: verdict %d (%+v), want %d", s.now, got.Verdict, got, want)
	}
	return got
}

// crashTrial runs a trial that crashes its leaf.
func (s *scenario) crashTrial(content Content, chance float64) bool {
	s.Helper()
	s.requireVerdict(content, Trial)
	return s.table.RecordTrialCrash(s.now, content, s.newCrashes(1), chance)
}

// TestRequestIsHeldAfterTwoTrials checks that a request runs until three leaves have crashed, and
// is held once two trials have crashed their leaves.
func TestRequestIsHeldAfterTwoTrials(t *testing.T) {
	s := newScenario(t)
	s.table.RecordCrashes(s.now, crashingContent, "r", s.newCrashes(2))
	s.requireVerdict(crashingContent, Run)
	s.table.RecordCrashes(s.now, crashingContent, "r", s.newCrashes(1))
	if s.crashTrial(crashingContent, 0.05) {
		t.Fatal("held after one trial")
	}
	if !s.crashTrial(crashingContent, 0.05) {
		t.Fatal("not held after two trials")
	}
	if decision := s.requireVerdict(crashingContent, Refuse); !decision.Held || decision.RetryAfter != 5*time.Minute {
		t.Errorf("decision %+v, want a held request with RetryAfter 5m", decision)
	}
	s.requireVerdict(harmlessContent, Run)
}

// TestPauseBetweenTrialsGrows checks that a request that no leaf answers in time occupies one leaf
// at a time, with growing pauses from the second trial on.
func TestPauseBetweenTrialsGrows(t *testing.T) {
	s := newScenario(t)
	s.table.RecordCrashes(s.now, crashingContent, "r", s.newCrashes(3))
	for _, want := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second} {
		s.requireVerdict(crashingContent, Trial)
		if decision := s.requireVerdict(crashingContent, Refuse); !decision.TrialRunning {
			t.Errorf("decision %+v during a trial, want TrialRunning", decision)
		}
		s.table.RecordInconclusiveTrial(s.now, crashingContent)
		if want == 0 {
			continue
		}
		if decision := s.requireVerdict(crashingContent, Refuse); decision.Held || decision.TrialRunning || decision.RetryAfter != want {
			t.Errorf("decision %+v after a trial, want only RetryAfter %v", decision, want)
		}
		s.now += want
	}
}

// TestTrialsNeededByBackgroundChance guards against holding a request because of crashes that
// happen regardless of it: the higher the chance of such a crash, the more trials are needed, and
// with chance 1 the request is never held.
func TestTrialsNeededByBackgroundChance(t *testing.T) {
	for _, test := range []struct {
		chance float64
		trials int // number of trials until the request is held; 0 if it is never held
	}{{0.05, 2}, {0.1, 2}, {0.14, 3}, {0.33, 5}, {1, 0}} {
		s := newScenario(t)
		s.table.RecordCrashes(s.now, harmlessContent, "r", s.newCrashes(3))
		held := 0
		for trial := 1; trial <= 20 && held == 0; trial++ {
			if s.crashTrial(harmlessContent, test.chance) {
				held = trial
			}
			s.now += time.Minute
		}
		if held != test.trials {
			t.Errorf("chance %v: held after %d trials, want %d", test.chance, held, test.trials)
		}
	}
}

// TestAnswerClearsRequest checks that an answer clears a request that other nodes reported and
// hold, also if another node writes its record again in the meantime.
func TestAnswerClearsRequest(t *testing.T) {
	s := newScenario(t)
	s.table.ApplyStored(s.now, harmlessContent, StoredRecord{Record: Record{Crashes: s.newCrashes(3), Odds: 400, Trials: 2, Held: true}, Written: at(5)})
	s.requireVerdict(harmlessContent, Refuse)
	if !s.table.RecordAnswer(harmlessContent) {
		t.Fatal("answer needs no write, want the record removed")
	}
	s.requireVerdict(harmlessContent, Run)
	change, pending := s.table.PendingChange(harmlessContent)
	if !pending || !change.Remove || change.Expected != at(5) {
		t.Fatalf("change %+v, want a removal at revision 5", change)
	}
	s.table.ApplyStored(s.now, harmlessContent, StoredRecord{Record: Record{Crashes: s.newCrashes(4), Odds: 1}, Written: at(6)})
	s.requireVerdict(harmlessContent, Run)
	change, _ = s.table.PendingChange(harmlessContent)
	if change.Expected != at(6) || !change.Remove {
		t.Fatalf("change %+v after another write, want a removal at revision 6", change)
	}
	s.table.MarkWritten(s.now, change, at(7))
	if total, _ := s.table.Len(); total != 0 {
		t.Errorf("%d requests after the removal was written, want 0", total)
	}
}

// TestRequestIsTriedAfterHoldEnds checks that a held request is tried on one leaf, rather than run
// freely, once its record has expired or an operator has deleted it.
func TestRequestIsTriedAfterHoldEnds(t *testing.T) {
	s := newScenario(t)
	s.table.ApplyStored(s.now, crashingContent, StoredRecord{Record: Record{Crashes: s.newCrashes(3), Odds: 400, Trials: 2, Held: true}, Written: at(5)})
	if !s.table.Remove(s.now, crashingContent, at(9)) {
		t.Error("removed request was not held")
	}
	if decision := s.requireVerdict(crashingContent, Trial); decision.Change.Expected != at(0) || decision.Change.Record.Trials != 1 {
		t.Errorf("trial %+v, want the first one, at no revision", decision)
	}
	s.table.RecordInconclusiveTrial(s.now, crashingContent)
	s.table.MarkWritten(s.now, Change{Content: crashingContent, Record: s.table.entries[crashingContent].Record}, at(9))
	s.table.Remove(s.now, crashingContent, at(9))
	s.requireVerdict(crashingContent, Run)
}

// TestTrialOfLostNodeTimesOut checks that other nodes may start a trial once the trial of a node
// that was lost has timed out.
func TestTrialOfLostNodeTimesOut(t *testing.T) {
	s := newScenario(t)
	s.table.ApplyStored(s.now, crashingContent, StoredRecord{Record: Record{Crashes: s.newCrashes(3), Odds: 1, Trials: 1, Trial: "lost"}, Written: at(5)})
	s.requireVerdict(crashingContent, Refuse)
	s.now += 5 * time.Second
	if decision := s.requireVerdict(crashingContent, Trial); decision.Change.Record.Trials != 2 || decision.Change.Record.Trial != "self" {
		t.Errorf("decision %+v, want trial 2 by self", decision)
	}
	s.table.CancelTrial(crashingContent)
	if change, _ := s.table.PendingChange(crashingContent); change.Record.Trials != 1 {
		t.Errorf("change %+v after a canceled trial, want 1 trial", change)
	}
}

// TestStateIsBounded checks the bounds on the number of requests, the size of a record and the rate
// of reports, whatever callers and leaves send.
func TestStateIsBounded(t *testing.T) {
	s := newScenario(t)
	s.table.SetNodes(8)
	reported := 0
	for number := range 100_000 {
		content := HashContent("h", fmt.Appendf(nil, "GET /%d HTTP/1.1", number), nil)
		if s.table.RecordCrashes(s.now, content, "r", s.newCrashes(20)) {
			reported++
		}
		s.now += 10 * time.Millisecond
	}
	if seconds := s.now.Seconds(); float64(reported) > 4+seconds*10/8 {
		t.Errorf("%d reports in %v s by one of eight nodes, want at most %v", reported, seconds, 4+seconds*10/8)
	}
	total, _ := s.table.Len()
	if total > s.table.config.MaxEntries {
		t.Errorf("%d requests, want at most %d", total, s.table.config.MaxEntries)
	}
	for _, e := range s.table.entries {
		if value, err := e.Encode(); err != nil || len(e.Crashes) > maxCrashes || len(value) > 1500 {
			t.Fatalf("record of %d bytes, error %v, want at most 1500 bytes and %d crashes: %s", len(value), err, maxCrashes, value)
		}
	}
}

// TestReportBurstIsDividedAmongNodes checks that the burst of reports of all nodes is bounded,
// except that each node may send one report.
func TestReportBurstIsDividedAmongNodes(t *testing.T) {
	for _, test := range []struct{ nodes, want int }{{8, 4}, {100, 4}, {200, 2}, {3900, 1}} {
		s := newScenario(t)
		s.table.SetNodes(test.nodes)
		reported := 0
		for number := range 10 {
			if s.table.RecordCrashes(0, HashContent("h", fmt.Appendf(nil, "GET /%d HTTP/1.1", number), nil), "r", s.newCrashes(3)) {
				reported++
			}
		}
		if reported != test.want {
			t.Errorf("%d reports at once by one of %d nodes, want %d", reported, test.nodes, test.want)
		}
	}
}

// TestOutdatedRemovalIsIgnored guards against a removal that deletes a record written at a later
// revision.
func TestOutdatedRemovalIsIgnored(t *testing.T) {
	s := newScenario(t)
	s.table.ApplyStored(s.now, crashingContent, StoredRecord{Record: Record{Crashes: s.newCrashes(3), Odds: 400, Held: true}, Written: at(12)})
	if s.table.Remove(s.now, crashingContent, at(10)) {
		t.Error("record of revision 12 removed as of revision 10")
	}
	s.requireVerdict(crashingContent, Refuse)
}

// TestDecodeRecordRejectsInvalidValues checks that invalid records are rejected without a panic.
func TestDecodeRecordRejectsInvalidValues(t *testing.T) {
	for _, text := range []string{"", "{", "null", `{"ended":7,"odds":1}`, `{"ended":["a"],"odds":1}`, `{"trials":-1,"odds":1}`, `{"odds":0}`, `{"odds":1,"ended":[{},{},{},{},{},{},{},{},{}]}`, "\xff\x00"} {
		record, err := DecodeRecord([]byte(text))
		if err == nil {
			t.Errorf("%q decoded as %+v, want an error", text, record)
		}
	}
}

// TestHeldRequestIsWrittenAgainAfterRestore guards against a held request that runs again because the
// store was restored from a backup without its record.
func TestHeldRequestIsWrittenAgainAfterRestore(t *testing.T) {
	s := newScenario(t)
	held := Record{Crashes: s.newCrashes(3), Odds: 400, Trials: 2, Held: true}
	s.table.ApplyStored(s.now, crashingContent, StoredRecord{Record: held, Written: position.Position{Era: 1, Revision: 50}})
	s.table.ApplyRestored(s.now, nil)
	s.requireVerdict(crashingContent, Refuse)
	change, pending := s.table.PendingChange(crashingContent)
	if !pending || change.Remove || !change.Expected.IsZero() {
		t.Fatalf("got pending %v, change %+v, want the record written as a new key", pending, change)
	}
	s.table.ApplyStored(s.now, crashingContent, StoredRecord{Record: change.Record, Written: position.Position{Era: 2, Revision: 7}})
	if change, pending := s.table.PendingChange(crashingContent); pending {
		t.Errorf("got pending change %+v after another node wrote the record at a lower revision, want none", change)
	}
}
