package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/roster"
)

// TestAllowanceKeepsItsBound spends whatever one node may, under any order of
// requests, grants, bursts and restarts.
func TestAllowanceKeepsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 60).Draw(t, "slack")}
		chance := func() float64 { return rapid.Float64Range(0, 0.99).Draw(t, "chance") }
		deadline := 10 * time.Second
		allowance := NewAllowance(bounds, 1, deadline, chance)
		now, granted := time.Duration(0), time.Duration(0)
		earned, spent := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				granted = now + GrantTTL
				allowance.Grant(granted)
			case 1:
				allowance.Burst()
			case 2: // the process starts again
				allowance = NewAllowance(bounds, 0, deadline, chance)
				granted = 0
			case 3, 4, 5:
				allowance.Earn(now)
				earned++
			default:
				if !allowance.Allows(now) {
					continue
				}
				if now >= granted || now >= deadline {
					t.Fatalf("spent at %s, the grant ended at %s", now, granted)
				}
				allowance.Spend()
				spent++
			}
		}
		if allowed := bounds.Ratio*float64(earned) + bounds.Slack; float64(spent) > allowed+2 {
			t.Fatalf("%d spent, %.1f allowed", spent, allowed)
		}
	})
}

// TestPartsOfTheSlackAddUp divides the slack among many nodes.
func TestPartsOfTheSlackAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	bounds := Bounds{Slack: 50}
	for _, nodes := range []int{1, 3, 66, mostNodes} {
		sum, most := 0, 0
		for range 200 {
			spent := 0
			for range nodes {
				allowance := NewAllowance(bounds, 1/float64(nodes), time.Second, random.Float64)
				allowance.Grant(time.Second)
				allowance.Burst()
				for allowance.Allows(0) {
					allowance.Spend()
					spent++
				}
			}
			sum += spent
			most = max(most, spent)
		}
		if mean := float64(sum) / 200; mean < 26 || mean > 29 || most > 50 {
			t.Errorf("%d nodes: %.1f spent on average, %d at most, of 50", nodes, mean, most)
		}
	}
}

func record(order uint64, phase Phase, revision uint64) Record {
	return Record{Service: playService, Order: order, Version: "v2", Phase: phase, Revision: revision}
}

// TestPhasesMoveForward also from old copies, and across restarts of an order.
func TestPhasesMoveForward(t *testing.T) {
	phases := []Phase{PhaseTrial, PhaseBurst, PhaseShift, PhaseCompleted, PhaseRolledBack}
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		order, last := uint64(0), Record{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			taken := record(uint64(rapid.IntRange(1, 4).Draw(t, "order")), rapid.SampledFrom(phases).Draw(t, "phase"), 0)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				table.SetRecord(taken)
			case 1:
				table.SetOrder(0, Order{Service: playService, Version: "v2", Duration: time.Second, Revision: taken.Order})
				order = max(order, taken.Order)
			case 2:
				table.Replace(0, time.Time{}, nil, []Record{taken}, true)
			}
			known := table.Of(playService)
			if known.Record.Order < last.Order || known.Record.Order == last.Order && ranks[known.Record.Phase] < ranks[last.Phase] {
				t.Fatalf("from %v of order %d to %v of %d", last.Phase, last.Order, known.Record.Phase, known.Record.Order)
			}
			if order > 0 && known.Record.Order != order && known.Phase() != PhaseNone {
				t.Fatalf("phase %v of order %d counts for order %d", known.Record.Phase, known.Record.Order, order)
			}
			last = known.Record
		}
	})
}

func TestOrderThatWasFoundHasTheAgeOfItsRecord(t *testing.T) {
	table := NewTable()
	clock := time.Unix(1000, 0)
	order := Order{Service: playService, Version: "v2", Duration: 10 * time.Second, Revision: 7}
	found := record(7, PhaseTrial, 8)
	found.OrderedAt = clock.Add(-4 * time.Second)
	table.Replace(time.Minute, clock, []Order{order}, []Record{found}, false)
	known := table.Of(playService)
	if !known.Found || known.Age(time.Minute) != 4*time.Second || known.Phase() != PhaseTrial {
		t.Errorf("%+v, age %s", known, known.Age(time.Minute))
	}
	table.SetOrder(time.Minute, Order{Service: "other", Version: "v2", Duration: time.Second, Revision: 9})
	if other := table.Of("other"); other.Found || other.Age(time.Minute) != 0 {
		t.Errorf("%+v", other)
	}
	table.Replace(time.Minute, clock, nil, nil, true)
	if known.Order.Revision == 0 {
		t.Error("a stale reading withdraws an order")
	}
	table.Replace(time.Minute, clock, nil, nil, false)
	if known.Order.Revision != 0 || known.Version() != "v2" || !known.Open() {
		t.Errorf("withdrawn: %+v", known)
	}
}

// modelStore is a store that takes a step only under the revisions that it names,
// and loses some answers.
type modelStore struct {
	revision uint64
	record   Record
	order    uint64
}

func (m *modelStore) advance(step Transition) bool {
	if step.Order != m.order || step.Former != m.record.Revision {
		return false
	}
	m.revision++
	m.record = step.Record
	m.record.Revision = m.revision
	return true
}

// TestTwoDecidersDoNoHarm lets two nodes decide at once, on reports that reach
// either or none, with writes that are lost or not answered, and orders that come and
// go: what the store holds only moves forward, and no order that was taken back is
// completed.
func TestTwoDecidersDoNoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{revision: 1}
		tables := []*Table{NewTable(), NewTable()}
		deciders := []*Decider{NewDecider(tables[0], "d"), NewDecider(tables[1], "d")}
		now, version := time.Duration(0), 1
		ended := make(map[uint64]Phase)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond
			at := rapid.IntRange(0, 1).Draw(t, "decider")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				store.revision++
				store.order = store.revision
				version++
			case 1:
				if rapid.IntRange(0, 4).Draw(t, "withdrawn") == 0 {
					store.order = 0
				}
			case 2, 3, 4: // a node hears of the store
				if store.order == 0 {
					tables[at].Withdraw(playService)
				} else {
					tables[at].SetOrder(now, Order{Service: playService, Version: fmt.Sprint("v", version), Duration: 6 * time.Second, Revision: store.order})
				}
				if store.record.Phase != PhaseNone {
					tables[at].SetRecord(store.record)
				}
			default:
				report := Report{Node: "a", Orders: []Progress{{Service: playService, Order: store.order, Phase: store.record.Phase}}}
				if rapid.IntRange(0, 9).Draw(t, "bad") == 0 {
					report.Orders[0].Bad = "told so"
				}
				deciders[at].Report(now, report)
				supply := func(string) Supply { return Supply{Target: 2, Control: 2, Mixed: true} }
				for _, step := range deciders[at].Tick(now, time.Time{}.Add(now), supply) {
					former := store.record
					if rapid.IntRange(0, 4).Draw(t, "lost") == 0 || !store.advance(step) {
						continue
					}
					if !store.record.follows(former) {
						t.Fatalf("from %+v to %+v", former, store.record)
					}
					if known, over := ended[store.record.Order]; over {
						t.Fatalf("order %d: %s, and then %s", store.record.Order, known, store.record.Phase)
					}
					if store.record.Phase.Ended() {
						ended[store.record.Order] = store.record.Phase
					}
					if rapid.IntRange(0, 4).Draw(t, "answered") > 0 {
						tables[at].SetRecord(store.record)
					}
				}
			}
		}
	})
}

func TestNextStep(t *testing.T) {
	const deadline = 10 * time.Second
	ample := Supply{Target: 4, Control: 6, Mixed: true}
	for _, test := range []struct {
		name  string
		phase Phase

		next func() (Phase, string)
	}{
		{"trial goes on", PhaseNone, func() (Phase, string) { return nextOfTrial(time.Second, deadline, 5*time.Second, ample) }},
		{"all leaves have the version", PhaseCompleted, func() (Phase, string) { return nextOfTrial(0, deadline, 5*time.Second, Supply{Target: 4}) }},
		{"the trial is over", PhaseBurst, func() (Phase, string) { return nextOfTrial(5*time.Second, deadline, 5*time.Second, ample) }},
		{"too few slots yet", PhaseNone, func() (Phase, string) {
			return nextOfTrial(6*time.Second, deadline, 5*time.Second, Supply{Target: 1, Control: 6, Mixed: true})
		}},
		{"no leaf came", PhaseRolledBack, func() (Phase, string) {
			return nextOfTrial(deadline, deadline, 5*time.Second, Supply{Control: 6, Mixed: true})
		}},
		{"burst goes on", PhaseNone, func() (Phase, string) { return nextOfBurst(time.Second, 6*time.Second, deadline, amount{50, 500}) }},
		{"burst is over", PhaseShift, func() (Phase, string) { return nextOfBurst(burstTime, 6*time.Second, deadline, amount{50, 500}) }},
		{"little traffic", PhaseShift, func() (Phase, string) { return nextOfBurst(burstTime, 6*time.Second, deadline, amount{0, 5}) }},
		{"no evidence yet", PhaseNone, func() (Phase, string) { return nextOfBurst(burstTime, 6*time.Second, deadline, amount{3, 500}) }},
		{"late, and the burst goes on", PhaseNone, func() (Phase, string) { return nextOfBurst(time.Second, deadline, deadline, amount{3, 500}) }},
		{"no evidence", PhaseRolledBack, func() (Phase, string) { return nextOfBurst(burstTime, deadline, deadline, amount{3, 500}) }},
	} {
		if phase, _ := test.next(); phase != test.phase {
			t.Errorf("%s: %q", test.name, phase)
		}
	}
}

// TestDeciderHeedsNoReportThatLeavesOutWhatAnotherKnows, and moves no traffic before
// it has heard the nodes for some time.
func TestDeciderHeedsNoReportThatLeavesOutWhatAnotherKnows(t *testing.T) {
	table := NewTable()
	table.SetOrder(0, Order{Service: playService, Version: "v2", Duration: 10 * time.Second, Revision: 1})
	table.SetRecord(record(1, PhaseBurst, 2))
	decider := NewDecider(table, "new")
	progress := []Progress{{Service: playService, Order: 1, Phase: PhaseBurst}}
	reply := decider.Report(time.Minute, Report{Node: "n", Decider: "old", Orders: progress})
	if reply.Decider != "new" || len(reply.Grants) > 0 || decider.Active(time.Minute) {
		t.Errorf("%+v, active %v", reply, decider.Active(time.Minute))
	}
	for now := time.Minute; now < time.Minute+3*time.Second; now += 300 * time.Millisecond {
		decider.Report(now, Report{Node: "n", Orders: progress})
		steps := decider.Tick(now, time.Time{}, func(string) Supply { return Supply{Target: 1, Control: 1, Mixed: true} })
		if len(steps) > 0 && now < time.Minute+gathering {
			t.Errorf("after %v: %+v", now-time.Minute, steps)
		}
	}
}

// TestShiftEndsOnceOtherLeavesAreIdle by the word of each node that reports.
func TestShiftEndsOnceOtherLeavesAreIdle(t *testing.T) {
	table := NewTable()
	table.SetOrder(0, Order{Service: playService, Version: "v2", Duration: 10 * time.Second, Revision: 1})
	table.SetRecord(record(1, PhaseShift, 2))
	decider := NewDecider(table, "d")
	tick := func(now time.Duration) Phase {
		steps := decider.Tick(now, time.Time{}, func(string) Supply { return Supply{} })
		if len(steps) == 0 {
			return PhaseNone
		}
		return steps[0].Record.Phase
	}
	tell := func(now time.Duration, node string, phase Phase, busy int) {
		decider.Report(now, Report{Node: node, Orders: []Progress{{Service: playService, Order: 1, Phase: phase, Busy: busy}}})
	}
	// both reports each half of a second, up to a time; one of them may be silent.
	both := func(from, to time.Duration, a, b Progress, silent bool) {
		for now := from; now <= to; now += 500 * time.Millisecond {
			tell(now, "a", a.Phase, a.Busy)
			if !silent {
				tell(now, "b", b.Phase, b.Busy)
			}
		}
	}
	idle := Progress{Phase: PhaseShift}
	busy := Progress{Phase: PhaseShift, Busy: 2}
	both(0, 0, idle, idle, false)
	if got := tick(0); got != PhaseNone {
		t.Errorf("at once: %s", got)
	}
	both(0, 2*time.Second, idle, busy, false)
	if got := tick(2 * time.Second); got != PhaseNone {
		t.Errorf("one is busy: %s", got)
	}
	both(2*time.Second, 3*time.Second, idle, Progress{Phase: PhaseBurst}, false)
	if got := tick(3 * time.Second); got != PhaseNone {
		t.Errorf("one is behind: %s", got)
	}
	both(3500*time.Millisecond, 6*time.Second, idle, idle, true)
	if got := tick(6 * time.Second); got != PhaseCompleted {
		t.Errorf("one is silent: %s", got)
	}
	both(12*time.Second, 14*time.Second, idle, busy, false)
	if got := tick(14 * time.Second); got != PhaseNone {
		t.Errorf("just after the deadline: %s", got)
	}
	both(14*time.Second, 15*time.Second, idle, busy, false)
	if got := tick(15 * time.Second); got != PhaseCompleted {
		t.Errorf("long after the deadline: %s", got)
	}
}

func TestParticipantsAndCandidates(t *testing.T) {
	var members []roster.Member
	for index := range 300 {
		cores := 0.2
		if index%30 == 0 {
			cores = 0.8
		}
		members = append(members, roster.Member{Name: fmt.Sprint("node-", index), Cores: cores})
	}
	taking := Participants(members)
	large := 0
	for _, one := range taking {
		if one.Cores == 0.8 {
			large++
		}
	}
	if len(taking) != mostNodes || large != 10 {
		t.Errorf("%d take part, %d large ones", len(taking), large)
	}
	deciding := Candidates(members)
	left := slices.DeleteFunc(slices.Clone(members), func(one roster.Member) bool { return one.Name == deciding[0].Name })
	if next := Candidates(left); next[0] != deciding[1] || deciding[0].Cores != 0.8 {
		t.Errorf("%v decides once %v is gone, want %v", next[0], deciding[0], deciding[1])
	}
	for _, test := range []struct {
		nodes int
		want  time.Duration
	}{{1, leastInterval}, {66, 330 * time.Millisecond}, {mostNodes, 640 * time.Millisecond}} {
		if got := Interval(test.nodes); got != test.want {
			t.Errorf("%d nodes report each %s, want %s", test.nodes, got, test.want)
		}
	}
}

// TestCountsAreToldOnce: what a decider has answered to is told again only once it
// has changed, and stays with a decider that does not know the order yet.
func TestCountsAreToldOnce(t *testing.T) {
	counter, told := NewCounter(), make(map[Subject]Counts)
	subject := Subject{Service: playService, Order: 1, Route: playRoute, Target: true, Leaf: "a", Zone: "z"}
	counter.Failed(subject)
	rows := counter.Changed(told)
	if len(rows) != 1 {
		t.Fatalf("%d rows", len(rows))
	}
	told[subject] = rows[0].Counts
	if again := counter.Changed(told); len(again) != 0 {
		t.Errorf("told again: %+v", again)
	}
	table := NewTable()
	decider := NewDecider(table, "d")
	decider.Report(0, Report{Node: "n", Rows: rows})
	decider.Tick(0, time.Time{}, nil)
	table.SetOrder(0, Order{Service: playService, Version: "v2", Duration: time.Second, Revision: 1})
	if counted := amountOf(decider.collect()[playService]); counted.target != 1 {
		t.Errorf("%+v is known", counted)
	}
	counter.Retain(map[string]uint64{playService: 2})
	if left := counter.Changed(nil); len(left) != 0 {
		t.Errorf("of a former order: %+v", left)
	}
}
