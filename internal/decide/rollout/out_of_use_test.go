package rollout

import (
	"testing"
	"time"
)

// outOfUseScenario is a decider for a target with a leaf in each of two zones.
type outOfUseScenario struct {
	*testing.T
	decider *Decider
	counter *Counter
	usable  map[string]bool
	phases  []Phase
	record  Record
}

func newOutOfUseScenario(t *testing.T) *outOfUseScenario {
	table := NewTable()
	table.SetOrder(0, Order{Service: testService, Version: "v2", Duration: 8 * time.Second, Written: testPosition(1)})
	return &outOfUseScenario{T: t, decider: NewDecider(table, "d"), counter: NewCounter(), usable: map[string]bool{"a": true, "b": true}}
}

// count counts attempts at a leaf of the target, or at the control if leaf is empty.
func (s *outOfUseScenario) count(leaf string, good, failed int) {
	subject := Subject{Service: testService, Order: 1, Route: testRoute}
	if leaf != "" {
		subject.Target, subject.Leaf, subject.Zone = true, leaf, "zone-"+leaf
	}
	for range good {
		s.counter.CountDuration(subject, 10*time.Millisecond)
	}
	for range failed {
		s.counter.CountFailure(subject)
	}
}

// tick reports all counts and applies the transitions.
func (s *outOfUseScenario) tick(now time.Duration) {
	rollout := s.decider.table.Lookup(testService)
	s.decider.Report(now, Report{Node: "n", Rows: s.counter.ChangedRows(nil), Orders: []Progress{
		{Service: testService, Order: 1, Phase: rollout.Phase(), Age: rollout.Age(now)},
	}})
	supply := func(string) Supply { return Supply{Target: 4, Control: 4, Mixed: true, Usable: s.usable} }
	for _, transition := range s.decider.Tick(now, time.Time{}, supply) {
		transition.Record.Revision = s.record.Revision + 1
		s.record = transition.Record
		s.phases = append(s.phases, s.record.Phase)
		s.decider.table.SetRecord(s.record)
	}
}

// TestLeafOutOfUseDoesNotSupportTarget guards against earlier answers of an unusable leaf that
// outweigh the failures of the remaining one: one leaf of a version answers, the other fails from a
// time on. While both leaves are in use, the version completes. Once the good leaf is out of use
// the version is rolled back, also after that leaf has become usable again but has not answered.
func TestLeafOutOfUseDoesNotSupportTarget(t *testing.T) {
	for name, test := range map[string]struct {
		// outAt and backAt are when the good leaf goes out of use and becomes usable again; zero
		// for never.
		outAt, backAt time.Duration
		want          Phase
	}{
		"both leaves in use":        {0, 0, PhaseCompleted},
		"good leaf goes out of use": {3 * time.Second, 0, PhaseRolledBack},
		"good leaf comes back":      {3 * time.Second, 5 * time.Second, PhaseRolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			s := newOutOfUseScenario(t)
			for now := time.Duration(0); now < 12*time.Second; now += 250 * time.Millisecond {
				s.usable["a"] = test.outAt == 0 || now < test.outAt || test.backAt > 0 && now >= test.backAt
				s.count("", 10, 0)
				if s.usable["a"] && (test.backAt == 0 || now < test.backAt) {
					s.count("a", 1, 0)
				}
				if now < 3*time.Second {
					s.count("b", 1, 0)
				} else {
					s.count("b", 0, 1)
				}
				s.tick(now)
				if s.record.Phase.Ended() {
					break
				}
			}
			if s.record.Phase != test.want {
				t.Errorf("phases %v, reason %q, want %s", s.phases, s.record.Reason, test.want)
			}
			if test.want == PhaseRolledBack && len(s.phases) > 2 {
				t.Errorf("phases %v, want a rollback within 2 phases", s.phases)
			}
		})
	}
}
