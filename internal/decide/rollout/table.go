package rollout

import (
	"maps"
	"slices"
	"time"
)

// Rollout is the state of one rollout as known to a node.
type Rollout struct {
	// Order is the order in force; its Revision is zero if it was withdrawn.
	Order Order
	// Record is the latest record for any order of the service.
	Record Record
	// orderedAt is the time of the order on the node's clock: the time at which this node read the
	// order, or an earlier time that the record or another node reports.
	orderedAt time.Duration
	// FoundAtStart reports whether the order existed when this node first read the store. The
	// process that ran before on this node may then have spent its part of the slack already.
	FoundAtStart bool
	// Bad describes why the target is bad, as far as this node knows; empty while there is no
	// evidence. It belongs to the order in force.
	Bad string
}

// Phase returns the phase of the order in force.
func (r *Rollout) Phase() Phase {
	if r.Order.Revision != 0 && r.Record.Order != r.Order.Revision {
		return PhaseNone
	}
	return r.Record.Phase
}

// Version returns the version of the order in force, or of the last record if the order was
// withdrawn.
func (r *Rollout) Version() string {
	if r.Order.Revision != 0 {
		return r.Order.Version
	}
	return r.Record.Version
}

// IsOpen reports whether the rollout has not ended.
func (r *Rollout) IsOpen() bool {
	phase := r.Phase()
	return !phase.Ended() && (phase != PhaseNone || r.Order.Revision != 0)
}

// Age returns the time since the order was given.
func (r *Rollout) Age(now time.Duration) time.Duration { return now - r.orderedAt }

// Table holds the rollouts by service. It is not safe for concurrent use.
type Table struct {
	entries map[string]*Rollout
	// loaded is set after the first complete reading of the store.
	loaded bool
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{entries: make(map[string]*Rollout)} }

func (t *Table) getOrCreate(service string) *Rollout {
	rollout, ok := t.entries[service]
	if !ok {
		rollout = &Rollout{}
		t.entries[service] = rollout
	}
	return rollout
}

// Lookup returns the rollout of a service; nil if there is none.
func (t *Table) Lookup(service string) *Rollout { return t.entries[service] }

// Services returns the sorted names of the services that have a rollout.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.entries)) }

// OpenServices returns the sorted names of the services whose rollouts have not ended.
func (t *Table) OpenServices() []string {
	return slices.DeleteFunc(t.Services(), func(service string) bool { return !t.entries[service].IsOpen() })
}

// SetOrder stores an order. It reports whether the order is newer than the known one.
func (t *Table) SetOrder(now time.Duration, order Order) bool {
	rollout := t.getOrCreate(order.Service)
	if order.Revision <= rollout.Order.Revision {
		return false
	}
	rollout.Order, rollout.orderedAt, rollout.FoundAtStart, rollout.Bad = order, now, !t.loaded, ""
	return true
}

// Withdraw records that a service has no order any more. It reports whether there was one.
func (t *Table) Withdraw(service string) bool {
	rollout, ok := t.entries[service]
	if !ok || rollout.Order.Revision == 0 {
		return false
	}
	rollout.Order = Order{Service: service}
	return true
}

// SetRecord stores a record unless the known one is further ahead. It reports whether the phase
// changed.
func (t *Table) SetRecord(record Record) bool {
	rollout := t.getOrCreate(record.Service)
	if record.Order == rollout.Record.Order && record.Phase == rollout.Record.Phase {
		if record.Revision != 0 { // each phase is written once
			rollout.Record.Revision = record.Revision
		}
		return false
	}
	if !record.follows(rollout.Record) {
		return false
	}
	previousRevision := rollout.Record.Revision
	rollout.Record = record
	rollout.Record.Revision = max(previousRevision, record.Revision)
	return true
}

// Replace applies a complete listing of orders and records. A stale listing may lack the newest
// orders, so that it withdraws none. Replace sets the age of an order from OrderedAt of its record,
// given the current time of day.
func (t *Table) Replace(now time.Duration, clock time.Time, orders []Order, records []Record, stale bool) {
	for _, record := range records {
		t.SetRecord(record)
	}
	present := make(map[string]bool, len(orders))
	for _, order := range orders {
		present[order.Service] = true
		if t.SetOrder(now, order) {
			t.restoreAge(now, clock, order)
		}
	}
	if !stale {
		for service := range t.entries {
			if !present[service] {
				t.Withdraw(service)
			}
		}
	}
	t.loaded = true
}

// restoreAge sets the age of an order from its record.
func (t *Table) restoreAge(now time.Duration, clock time.Time, order Order) {
	rollout := t.entries[order.Service]
	if rollout.Record.Order != order.Revision {
		return
	}
	age := min(max(clock.Sub(rollout.Record.OrderedAt), 0), order.Duration)
	rollout.orderedAt = now - age
}

// Merge applies another node's state of the order in force: its age, its record, and the evidence
// against the target, if there is some. It reports whether the phase changed.
func (t *Table) Merge(now time.Duration, service string, order uint64, age time.Duration, record Record, bad string) bool {
	rollout, ok := t.entries[service]
	if !ok || rollout.Order.Revision != order {
		return false
	}
	rollout.orderedAt = min(rollout.orderedAt, now-age)
	if rollout.Bad == "" {
		rollout.Bad = bad
	}
	return record.Order == order && t.SetRecord(record)
}
