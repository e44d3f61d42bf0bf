package rollout

import (
	"maps"
	"slices"
	"time"
)

// Rollout is one roll-out as a node knows it.
type Rollout struct {
	// Order is the one in force; its Revision is zero if it was withdrawn.
	Order Order
	// Record is the last one for any order of the service.
	Record Record
	// orderedAt is when the order was given, on the node's clock: when this node saw it,
	// or earlier, if its record or another node says so.
	orderedAt time.Duration
	// Found says that the order was there when this node first read the store: the
	// node may be the successor of one that has spent its part of the slack.
	Found bool
	// Bad says why the target is bad, as far as this node knows; empty while nothing
	// shows that. It holds for the order in force.
	Bad string
}

// Phase returns that of the order in force.
func (r *Rollout) Phase() Phase {
	if r.Order.Revision != 0 && r.Record.Order != r.Order.Revision {
		return PhaseNone
	}
	return r.Record.Phase
}

// Version returns the one that is being rolled out, or was last.
func (r *Rollout) Version() string {
	if r.Order.Revision != 0 {
		return r.Order.Version
	}
	return r.Record.Version
}

// Open reports whether the roll-out has steps left to take.
func (r *Rollout) Open() bool {
	phase := r.Phase()
	return !phase.Ended() && (phase != PhaseNone || r.Order.Revision != 0)
}

// Age returns the time since the order was given.
func (r *Rollout) Age(now time.Duration) time.Duration { return now - r.orderedAt }

// Table holds the roll-outs by service. It is not safe for concurrent use.
type Table struct {
	entries map[string]*Rollout
	// read is set once the store was read as a whole.
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

// Of returns the roll-out of a service; nil without one.
func (t *Table) Of(service string) *Rollout { return t.entries[service] }

// Services returns the services that have a roll-out, by name.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.entries)) }

// Open returns the services whose roll-outs have steps left to take, by name.
func (t *Table) Open() []string {
	return slices.DeleteFunc(t.Services(), func(service string) bool { return !t.entries[service].Open() })
}

// SetOrder takes in an order. It reports whether that is news.
func (t *Table) SetOrder(now time.Duration, order Order) bool {
	rollout := t.getOrCreate(order.Service)
	if order.Revision <= rollout.Order.Revision {
		return false
	}
	rollout.Order, rollout.orderedAt, rollout.Found, rollout.Bad = order, now, !t.loaded, ""
	return true
}

// Withdraw takes in that there is no order for a service any more.
func (t *Table) Withdraw(service string) bool {
	rollout, ok := t.entries[service]
	if !ok || rollout.Order.Revision == 0 {
		return false
	}
	rollout.Order = Order{Service: service}
	return true
}

// SetRecord takes in a record, unless it is behind the one known. It reports
// whether the phase is news.
func (t *Table) SetRecord(record Record) bool {
	rollout := t.getOrCreate(record.Service)
	if record.Order == rollout.Record.Order && record.Phase == rollout.Record.Phase {
		if record.Revision != 0 { // a phase is written once
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

// Replace takes in all orders and records there are. A stale reading may lack the
// newest orders: it withdraws none. OrderedAt of a record makes the age of an order
// that was found, by a clock whose time is given too.
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

// backdate gives an order that was found the age that its record says.
func (t *Table) restoreAge(now time.Duration, clock time.Time, order Order) {
	rollout := t.entries[order.Service]
	if rollout.Record.Order != order.Revision {
		return
	}
	age := min(max(clock.Sub(rollout.Record.OrderedAt), 0), order.Duration)
	rollout.orderedAt = now - age
}

// Merge takes in what another node knows of the order in force: its age, its record,
// and why the target is bad, if it is. It reports whether the phase is news.
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
