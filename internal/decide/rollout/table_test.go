package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/position"
)

// testPosition returns a position in a store that was never restored.
func testPosition(revision uint64) position.Position { return position.Position{Revision: revision} }

func newTestRecord(order uint64, phase Phase, revision uint64) Record {
	return Record{Service: testService, Order: order, Version: "v2", Phase: phase, Revision: revision}
}

// TestPhasesOnlyAdvance checks that neither old copies of a record nor a repeated order moves a
// rollout back to an earlier phase.
func TestPhasesOnlyAdvance(t *testing.T) {
	phases := []Phase{PhaseTrial, PhaseBurst, PhaseShift, PhaseCompleted, PhaseRolledBack}
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		order, last := uint64(0), Record{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			received := newTestRecord(uint64(rapid.IntRange(1, 4).Draw(t, "order")), rapid.SampledFrom(phases).Draw(t, "phase"), 0)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				table.SetRecord(received)
			case 1:
				table.SetOrder(0, Order{Service: testService, Version: "v2", Duration: time.Second, Written: testPosition(received.Order)})
				order = max(order, received.Order)
			case 2:
				table.Replace(0, time.Time{}, Listing{Records: []Record{received}, Stale: true})
			}
			rollout := table.Lookup(testService)
			if rollout.Record.Order < last.Order || rollout.Record.Order == last.Order && phaseRanks[rollout.Record.Phase] < phaseRanks[last.Phase] {
				t.Fatalf("moved from phase %v of order %d to phase %v of order %d", last.Phase, last.Order, rollout.Record.Phase, rollout.Record.Order)
			}
			if order > 0 && rollout.Record.Order != order && rollout.Phase() != PhaseNone {
				t.Fatalf("phase %v of order %d applies to order %d", rollout.Record.Phase, rollout.Record.Order, order)
			}
			last = rollout.Record
		}
	})
}

func TestOrderFoundAtStartTakesAgeFromRecord(t *testing.T) {
	table := NewTable()
	clock := time.Unix(1000, 0)
	order := Order{Service: testService, Version: "v2", Duration: 10 * time.Second, Written: testPosition(7)}
	stored := newTestRecord(7, PhaseTrial, 8)
	stored.OrderedAt = clock.Add(-4 * time.Second)
	table.Replace(time.Minute, clock, Listing{Orders: []Order{order}, Records: []Record{stored}})
	rollout := table.Lookup(testService)
	if !rollout.FoundAtStart || rollout.Age(time.Minute) != 4*time.Second || rollout.Phase() != PhaseTrial {
		t.Errorf("roll-out %+v, age %s, want a trial found at the start, of age 4s", rollout, rollout.Age(time.Minute))
	}
	table.SetOrder(time.Minute, Order{Service: "other", Version: "v2", Duration: time.Second, Written: testPosition(9)})
	if other := table.Lookup("other"); other.FoundAtStart || other.Age(time.Minute) != 0 {
		t.Errorf("roll-out %+v, want a new one of age 0", other)
	}
	table.Replace(time.Minute, clock, Listing{Stale: true})
	if !rollout.Order.Exists() {
		t.Error("stale listing withdrew an order")
	}
	table.Replace(time.Minute, clock, Listing{})
	if rollout.Order.Exists() || rollout.Version() != "v2" || !rollout.IsOpen() {
		t.Errorf("withdrawn roll-out %+v, want it open with version v2", rollout)
	}
}
