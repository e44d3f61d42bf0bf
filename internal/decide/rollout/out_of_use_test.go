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
	table.SetOrder(0, Order{Service: testService, Version: "v2", Duration: 8 * time.Second, Revision: 1})
	return &outOfUseScenario{T: t, decider: NewDecider(table, "d"), counter: NewCounter(), usable: map[string]bool{"a": true, "b": true}}
}

// count counts attempts at a leaf of the target, or at the control if leaf is empty.
func (p *outOfUseScenario) count(leaf string, good, failed int) {
	subject := Subject{Service: testService, Order: 1, Route: testRoute}
	if leaf != "" {
		subject.Target, subject.Leaf, subject.Zone = true, leaf, "zone-"+leaf
	}
	for range good {
		p.counter.Took(subject, 10*time.Millisecond)
	}
	for range failed {
		p.counter.Failed(subject)
	}
}

// tick reports all counts and applies the transitions.
func (p *outOfUseScenario) tick(now time.Duration) {
	rollout := p.decider.table.Of(testService)
	p.decider.Report(now, Report{Node: "n", Rows: p.counter.Changed(nil), Orders: []Progress{
		{Service: testService, Order: 1, Phase: rollout.Phase(), Age: rollout.Age(now)},
	}})
	supply := func(string) Supply { return Supply{Target: 4, Control: 4, Mixed: true, Usable: p.usable} }
	for _, transition := range p.decider.Tick(now, time.Time{}, supply) {
		transition.Record.Revision = p.record.Revision + 1
		p.record = transition.Record
		p.phases = append(p.phases, p.record.Phase)
		p.decider.table.SetRecord(p.record)
	}
}

// TestLeafOutOfUseDoesNotSupportTarget guards against former answers of an unusable leaf that
// outweigh the failures of the remaining one: one leaf of a version answers, the other fails from a
// time on. While both leaves are in use, the version completes. Once the good leaf is out of use
// the version is rolled back, also after that leaf has come back without answering again.
func TestLeafOutOfUseDoesNotSupportTarget(t *testing.T) {
	for name, test := range map[string]struct {
		outAt, backAt time.Duration // time at which the good leaf goes out of use and comes back; zero for never
		want          Phase
	}{
		"both in use":       {0, 0, PhaseCompleted},
		"the good one gone": {3 * time.Second, 0, PhaseRolledBack},
		"it comes back":     {3 * time.Second, 5 * time.Second, PhaseRolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			p := newOutOfUseScenario(t)
			for now := time.Duration(0); now < 12*time.Second; now += 250 * time.Millisecond {
				p.usable["a"] = test.outAt == 0 || now < test.outAt || test.backAt > 0 && now >= test.backAt
				p.count("", 10, 0)
				if p.usable["a"] && (test.backAt == 0 || now < test.backAt) {
					p.count("a", 1, 0)
				}
				if now < 3*time.Second {
					p.count("b", 1, 0)
				} else {
					p.count("b", 0, 1)
				}
				p.tick(now)
				if p.record.Phase.Ended() {
					break
				}
			}
			if p.record.Phase != test.want {
				t.Errorf("%v, %s", p.phases, p.record.Reason)
			}
			if test.want == PhaseRolledBack && len(p.phases) > 2 {
				t.Errorf("taken back late: %v", p.phases)
			}
		})
	}
}
