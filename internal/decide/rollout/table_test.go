package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

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
