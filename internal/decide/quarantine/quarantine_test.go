package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var (
	bad  = ContentOf("h", []byte("GET /bad HTTP/1.1"), nil)
	good = ContentOf("h", []byte("GET /good HTTP/1.1"), nil)
)

// play is one Table, with a time that the test moves.
type play struct {
	*testing.T
	table *Table
	now   time.Duration
	ended int
}

func newPlay(t *testing.T) *play { return &play{T: t, table: NewTable(DefaultConfig("self"))} }

// leaves returns incarnations that were not named before.
func (p *play) leaves(count int) []Crash {
	var all []Crash
	for range count {
		p.ended++
		all = append(all, NewCrash(fmt.Sprint("leaf-", p.ended), strings.Repeat("a long id", 100)))
	}
	return all
}

func (p *play) require(content Content, want Verdict) Decision {
	p.Helper()
	got := p.table.Admit(p.now, content)
	if got.Verdict != want {
		p.Fatalf("at %v: verdict %d (%+v), want %d", p.now, got.Verdict, got, want)
	}
	return got
}

// fail plays a trial that ends with its leaf.
func (p *play) fail(content Content, chance float64) bool {
	p.Helper()
	p.require(content, Trial)
	return p.table.TrialCrashed(p.now, content, p.leaves(1), chance)
}

// TestRequestIsHeldAfterTwoTrials, and not before three leaves have ended.
func TestRequestIsHeldAfterTwoTrials(t *testing.T) {
	p := newPlay(t)
	p.table.Suspect(p.now, bad, "r", p.leaves(2))
	p.require(bad, Run)
	p.table.Suspect(p.now, bad, "r", p.leaves(1))
	if p.fail(bad, 0.05) {
		t.Fatal("held after one trial")
	}
	if !p.fail(bad, 0.05) {
		t.Fatal("not held after two trials")
	}
	if wait := p.require(bad, Refuse); !wait.Held || wait.RetryAfter != 5*time.Minute {
		t.Errorf("held: %+v", wait)
	}
	p.require(good, Run)
}

// TestTrialsHavePauses from the second on, which grow: a request that is not answered
// in time takes up one leaf at a time, and seldom.
func TestTrialsHavePauses(t *testing.T) {
	p := newPlay(t)
	p.table.Suspect(p.now, bad, "r", p.leaves(3))
	for _, want := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second} {
		p.require(bad, Trial)
		if wait := p.require(bad, Refuse); !wait.TrialRunning {
			t.Errorf("beside a trial: %+v", wait)
		}
		p.table.TrialInconclusive(p.now, bad)
		if want == 0 {
			continue
		}
		if wait := p.require(bad, Refuse); wait.Held || wait.TrialRunning || wait.RetryAfter != want {
			t.Errorf("after a trial: %+v, want %v", wait, want)
		}
		p.now += want
	}
}

// TestLeavesThatEndByThemselvesProveLittle: where one run in three ends with its leaf
// whatever the request, two trials do not have it held; where all do, none does.
func TestLeavesThatEndByThemselvesProveLittle(t *testing.T) {
	for _, test := range []struct {
		chance float64
		trials int // until it is held; 0 for never
	}{{0.05, 2}, {0.1, 2}, {0.14, 3}, {0.33, 5}, {1, 0}} {
		p := newPlay(t)
		p.table.Suspect(p.now, good, "r", p.leaves(3))
		held := 0
		for trial := 1; trial <= 20 && held == 0; trial++ {
			if p.fail(good, test.chance) {
				held = trial
			}
			p.now += time.Minute
		}
		if held != test.trials {
			t.Errorf("chance %v: held after %d trials, want %d", test.chance, held, test.trials)
		}
	}
}

// TestAnswerClears a request, also one that is held, and one that others reported.
func TestAnswerClears(t *testing.T) {
	p := newPlay(t)
	p.table.Set(p.now, good, Known{Record: Record{Crashes: p.leaves(3), Odds: 400, Trials: 2, Held: true}, Revision: 5})
	p.require(good, Refuse)
	if !p.table.Answered(good) {
		t.Fatal("the store is not told")
	}
	p.require(good, Run)
	change, wanted := p.table.Change(good)
	if !wanted || !change.Remove || change.Former != 5 {
		t.Fatalf("change %+v", change)
	}
	p.table.Set(p.now, good, Known{Record: Record{Crashes: p.leaves(4), Odds: 1}, Revision: 6})
	p.require(good, Run)
	change, _ = p.table.Change(good)
	if change.Former != 6 || !change.Remove {
		t.Fatalf("change %+v after it was overtaken", change)
	}
	p.table.Written(p.now, change, 7)
	if known, _ := p.table.Len(); known != 0 {
		t.Error("it is still known")
	}
}

// TestHeldRequestIsTriedOnceItsTimeIsOver, or an operator took its key away.
func TestHeldRequestIsTriedOnceItsTimeIsOver(t *testing.T) {
	p := newPlay(t)
	p.table.Set(p.now, bad, Known{Record: Record{Crashes: p.leaves(3), Odds: 400, Trials: 2, Held: true}, Revision: 5})
	if !p.table.Remove(p.now, bad, 9) {
		t.Error("it was not held")
	}
	if decision := p.require(bad, Trial); decision.Change.Former != 0 || decision.Change.Record.Trials != 1 {
		t.Errorf("trial %+v", decision)
	}
	p.table.TrialInconclusive(p.now, bad)
	p.table.Written(p.now, Change{Content: bad, Record: p.table.entries[bad].Record}, 9)
	p.table.Remove(p.now, bad, 9)
	p.require(bad, Run)
}

// TestTrialOfALostNodeEnds for the others after a time.
func TestTrialOfALostNodeEnds(t *testing.T) {
	p := newPlay(t)
	p.table.Set(p.now, bad, Known{Record: Record{Crashes: p.leaves(3), Odds: 1, Trials: 1, Trial: "lost"}, Revision: 5})
	p.require(bad, Refuse)
	p.now += 5 * time.Second
	if next := p.require(bad, Trial); next.Change.Record.Trials != 2 || next.Change.Record.Trial != "self" {
		t.Errorf("%+v", next)
	}
	p.table.Withdraw(bad)
	if change, _ := p.table.Change(bad); change.Record.Trials != 1 {
		t.Errorf("a trial that did not begin counts: %+v", change)
	}
}

// TestStateIsBounded, whatever callers send: in requests, in the leaves that are
// named, and in reports a second of all nodes together.
func TestStateIsBounded(t *testing.T) {
	p := newPlay(t)
	p.table.SetNodes(8)
	kept := 0
	for number := range 100_000 {
		content := ContentOf("h", fmt.Appendf(nil, "GET /%d HTTP/1.1", number), nil)
		if p.table.Suspect(p.now, content, "r", p.leaves(20)) {
			kept++
		}
		p.now += 10 * time.Millisecond
	}
	if seconds := p.now.Seconds(); float64(kept) > 4+seconds*10/8 {
		t.Errorf("%d reports in %v s by one of eight nodes", kept, seconds)
	}
	known, _ := p.table.Len()
	if known > p.table.config.MaxEntries {
		t.Errorf("%d requests are known", known)
	}
	for _, one := range p.table.entries {
		if value, err := one.Encode(); err != nil || len(one.Crashes) > maxCrashes || len(value) > 1500 {
			t.Fatalf("%d bytes, %v: %s", len(value), err, value)
		}
	}
}

// TestLargeFleetsReportNoMoreAtOnce than small ones do, but for one report of each node.
func TestLargeFleetsReportNoMoreAtOnce(t *testing.T) {
	for _, test := range []struct{ nodes, want int }{{8, 4}, {100, 4}, {200, 2}, {3900, 1}} {
		p := newPlay(t)
		p.table.SetNodes(test.nodes)
		kept := 0
		for number := range 10 {
			if p.table.Suspect(0, ContentOf("h", fmt.Appendf(nil, "GET /%d HTTP/1.1", number), nil), "r", p.leaves(3)) {
				kept++
			}
		}
		if kept != test.want {
			t.Errorf("%d reports at once by one of %d nodes", kept, test.nodes)
		}
	}
}

// TestRemovalThatIsOldNews leaves a record alone that was written since.
func TestRemovalThatIsOldNews(t *testing.T) {
	p := newPlay(t)
	p.table.Set(p.now, bad, Known{Record: Record{Crashes: p.leaves(3), Odds: 400, Held: true}, Revision: 12})
	if p.table.Remove(p.now, bad, 10) {
		t.Error("removed by news of before")
	}
	p.require(bad, Refuse)
}

// TestRecordsOfOtherWriters are read, or rejected, and never end the process.
func TestRecordsOfOtherWriters(t *testing.T) {
	for _, text := range []string{"", "{", "null", `{"ended":7,"odds":1}`, `{"ended":["a"],"odds":1}`, `{"trials":-1,"odds":1}`, `{"odds":0}`, `{"odds":1,"ended":[{},{},{},{},{},{},{},{},{}]}`, "\xff\x00"} {
		record, err := DecodeRecord([]byte(text))
		if err == nil {
			t.Errorf("%q is read as %+v", text, record)
		}
	}
}
