package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelStore applies a transition only at the revisions that the transition names.
type modelStore struct {
	revision uint64
	record   Record
	order    uint64
}

func (m *modelStore) advance(transition Transition) bool {
	if transition.Order.Revision != m.order || transition.Expected.Revision != m.record.Revision {
		return false
	}
	m.revision++
	m.record = transition.Record
	m.record.Revision = m.revision
	return true
}

// phase returns the phase of the order in force.
func (m *modelStore) phase() Phase {
	if m.record.Order != m.order {
		return PhaseNone
	}
	return m.record.Phase
}

// TestConcurrentDecidersOnlyAdvancePhases guards against conflicting decisions when two nodes
// decide at once: reports reach either decider or none, writes and their answers are lost, and
// orders are replaced and withdrawn. The stored record must only advance, and an order that has
// ended must stay ended.
func TestConcurrentDecidersOnlyAdvancePhases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{revision: 1}
		tables := []*Table{NewTable(), NewTable()}
		deciders := []*Decider{NewDecider(tables[0], "d"), NewDecider(tables[1], "d")}
		now, version := time.Duration(0), 1
		ended := make(map[uint64]Phase)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond
			index := rapid.IntRange(0, 1).Draw(t, "decider")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				store.revision++
				store.order = store.revision
				version++
			case 1:
				if rapid.IntRange(0, 4).Draw(t, "withdrawn") == 0 {
					store.order = 0
				}
			case 2, 3, 4: // a node reads the store
				if store.order == 0 {
					tables[index].Withdraw(testService)
				} else {
					tables[index].SetOrder(now, Order{Service: testService, Version: fmt.Sprint("v", version), Duration: 6 * time.Second, Written: testPosition(store.order)})
				}
				if store.record.Phase != PhaseNone {
					tables[index].SetRecord(store.record)
				}
			default:
				report := Report{Node: "a", Orders: []Progress{{Service: testService, Order: store.order, Version: fmt.Sprint("v", version), Phase: store.phase()}}}
				if rapid.IntRange(0, 9).Draw(t, "bad") == 0 {
					report.Orders[0].Bad = "reported as bad"
				}
				deciders[index].Report(now, report)
				supply := func(string) Supply { return Supply{Target: 2, Control: 2, Mixed: true} }
				for _, transition := range deciders[index].Tick(now, time.Time{}.Add(now), supply) {
					previous := store.record
					if rapid.IntRange(0, 4).Draw(t, "lost") == 0 || !store.advance(transition) {
						continue
					}
					if !store.record.follows(previous) {
						t.Fatalf("record moved from %+v to %+v, want a later phase or order", previous, store.record)
					}
					if finalPhase, ok := ended[store.record.Order]; ok {
						t.Fatalf("order %d: phase %s after it ended in %s", store.record.Order, store.record.Phase, finalPhase)
					}
					if store.record.Phase.Ended() {
						ended[store.record.Order] = store.record.Phase
					}
					if rapid.IntRange(0, 4).Draw(t, "answered") > 0 {
						tables[index].SetRecord(store.record)
					}
				}
			}
		}
	})
}

func TestNextPhase(t *testing.T) {
	const deadline = 10 * time.Second
	enoughSlots := Supply{Target: 4, Control: 6, Mixed: true}
	for _, test := range []struct {
		name  string
		phase Phase

		next func() (Phase, string)
	}{
		{"trial continues", PhaseNone, func() (Phase, string) { return nextFromTrial(time.Second, deadline, 5*time.Second, enoughSlots) }},
		{"all leaves have the version", PhaseCompleted, func() (Phase, string) { return nextFromTrial(0, deadline, 5*time.Second, Supply{Target: 4}) }},
		{"trial is over", PhaseBurst, func() (Phase, string) { return nextFromTrial(5*time.Second, deadline, 5*time.Second, enoughSlots) }},
		{"too few slots yet", PhaseNone, func() (Phase, string) {
			return nextFromTrial(6*time.Second, deadline, 5*time.Second, Supply{Target: 1, Control: 6, Mixed: true})
		}},
		{"no leaf of the target at the deadline", PhaseRolledBack, func() (Phase, string) {
			return nextFromTrial(deadline, deadline, 5*time.Second, Supply{Control: 6, Mixed: true})
		}},
		{"burst continues", PhaseNone, func() (Phase, string) {
			return nextFromBurst(time.Second, 6*time.Second, deadline, attemptTotals{50, 500})
		}},
		{"burst is over", PhaseShift, func() (Phase, string) {
			return nextFromBurst(minBurstTime, 6*time.Second, deadline, attemptTotals{50, 500})
		}},
		{"little traffic", PhaseShift, func() (Phase, string) {
			return nextFromBurst(minBurstTime, 6*time.Second, deadline, attemptTotals{0, 5})
		}},
		{"no evidence yet", PhaseNone, func() (Phase, string) {
			return nextFromBurst(minBurstTime, 6*time.Second, deadline, attemptTotals{3, 500})
		}},
		{"burst continues after the deadline", PhaseNone, func() (Phase, string) { return nextFromBurst(time.Second, deadline, deadline, attemptTotals{3, 500}) }},
		{"no evidence at the deadline", PhaseRolledBack, func() (Phase, string) { return nextFromBurst(minBurstTime, deadline, deadline, attemptTotals{3, 500}) }},
	} {
		if phase, _ := test.next(); phase != test.phase {
			t.Errorf("%s: next phase %q, want %q", test.name, phase, test.phase)
		}
	}
}

// TestDeciderIgnoresReportBasedOnOtherDecider checks that a decider ignores a report that omits
// counts received by another decider, and that it moves no traffic before minGatheringTime.
func TestDeciderIgnoresReportBasedOnOtherDecider(t *testing.T) {
	table := NewTable()
	table.SetOrder(0, Order{Service: testService, Version: "v2", Duration: 10 * time.Second, Written: testPosition(1)})
	table.SetRecord(newTestRecord(1, PhaseBurst, 2))
	decider := NewDecider(table, "new")
	progress := []Progress{{Service: testService, Order: 1, Phase: PhaseBurst}}
	reply := decider.Report(time.Minute, Report{Node: "n", Decider: "old", Orders: progress})
	if reply.Decider != "new" || len(reply.Grants) > 0 || decider.Active(time.Minute) {
		t.Errorf("reply %+v, active %v, want no grants from the inactive decider \"new\"", reply, decider.Active(time.Minute))
	}
	for now := time.Minute; now < time.Minute+3*time.Second; now += 300 * time.Millisecond {
		decider.Report(now, Report{Node: "n", Orders: progress})
		transitions := decider.Tick(now, time.Time{}, func(string) Supply { return Supply{Target: 1, Control: 1, Mixed: true} })
		if len(transitions) > 0 && now < time.Minute+minGatheringTime {
			t.Errorf("transitions %+v after %v, want none before %v", transitions, now-time.Minute, minGatheringTime)
		}
	}
}

// TestShiftCompletesOnceControlIsIdle checks that a shift completes only once every node that
// reports is idle at the control, or completionGrace has passed after the deadline.
func TestShiftCompletesOnceControlIsIdle(t *testing.T) {
	table := NewTable()
	table.SetOrder(0, Order{Service: testService, Version: "v2", Duration: 10 * time.Second, Written: testPosition(1)})
	table.SetRecord(newTestRecord(1, PhaseShift, 2))
	decider := NewDecider(table, "d")
	nextPhase := func(now time.Duration) Phase {
		transitions := decider.Tick(now, time.Time{}, func(string) Supply { return Supply{} })
		if len(transitions) == 0 {
			return PhaseNone
		}
		return transitions[0].Record.Phase
	}
	report := func(now time.Duration, node string, phase Phase, busy int) {
		decider.Report(now, Report{Node: node, Orders: []Progress{{Service: testService, Order: 1, Phase: phase, Busy: busy}}})
	}
	// reportBoth sends reports of both nodes every 500 ms; node b may be silent.
	reportBoth := func(from, to time.Duration, a, b Progress, silent bool) {
		for now := from; now <= to; now += 500 * time.Millisecond {
			report(now, "a", a.Phase, a.Busy)
			if !silent {
				report(now, "b", b.Phase, b.Busy)
			}
		}
	}
	idle := Progress{Phase: PhaseShift}
	busy := Progress{Phase: PhaseShift, Busy: 2}
	reportBoth(0, 0, idle, idle, false)
	if got := nextPhase(0); got != PhaseNone {
		t.Errorf("next phase %q at the start of the shift, want none", got)
	}
	reportBoth(0, 2*time.Second, idle, busy, false)
	if got := nextPhase(2 * time.Second); got != PhaseNone {
		t.Errorf("next phase %q while a node is busy, want none", got)
	}
	reportBoth(2*time.Second, 3*time.Second, idle, Progress{Phase: PhaseBurst}, false)
	if got := nextPhase(3 * time.Second); got != PhaseNone {
		t.Errorf("next phase %q while a node is in the burst, want none", got)
	}
	reportBoth(3500*time.Millisecond, 6*time.Second, idle, idle, true)
	if got := nextPhase(6 * time.Second); got != PhaseCompleted {
		t.Errorf("next phase %q while a node is silent, want %q", got, PhaseCompleted)
	}
	reportBoth(12*time.Second, 14*time.Second, idle, busy, false)
	if got := nextPhase(14 * time.Second); got != PhaseNone {
		t.Errorf("next phase %q just after the deadline, want none", got)
	}
	reportBoth(14*time.Second, 15*time.Second, idle, busy, false)
	if got := nextPhase(15 * time.Second); got != PhaseCompleted {
		t.Errorf("next phase %q after completionGrace, want %q", got, PhaseCompleted)
	}
}
