package rollout

import (
	"maps"
	"slices"
	"time"
)

// Rollout is the state of one rollout as known to a node.
type Rollout struct {
	// Order is the order in force; it does not exist if it was withdrawn.
	Order Order
	// Generation counts the orders for the service that this node has received. It stays the same
	// if an order is written again after a restore of the store.
	Generation uint64
	// Record is the most advanced record that this node knows for an order of the service.
	Record Record
	// Stored is the record that the store holds, as far as this node knows. A restore of the store
	// may set it back behind Record.
	Stored Record
	// orderedAt is the time of the order on the node's clock: the time at which this node read the
	// order, or an earlier time that the record or another node reports.
	orderedAt time.Duration
	// FoundAtStart reports whether the order existed when this node first read the store, or was in
	// force before. A part of the slack may then be spent already.
	FoundAtStart bool
	// Bad describes why the target is bad, as far as this node knows; empty while there is no
	// evidence. It belongs to the order in force.
	Bad string
	// previous is the order that was in force before Order.
	previous Order
}

// Phase returns the phase of the order in force.
func (r *Rollout) Phase() Phase {
	if r.Order.Exists() && !r.isNamedBy(r.Record) {
		return PhaseNone
	}
	return r.Record.Phase
}

// isNamedBy reports whether a record belongs to the order in force.
func (r *Rollout) isNamedBy(record Record) bool {
	return r.Order.Exists() && r.Order.Is(record.Order, record.Version)
}

// Version returns the version of the order in force, or of the last record if the order was
// withdrawn.
func (r *Rollout) Version() string {
	if r.Order.Exists() {
		return r.Order.Version
	}
	return r.Record.Version
}

// IsOpen reports whether the rollout has not ended.
func (r *Rollout) IsOpen() bool {
	phase := r.Phase()
	return !phase.Ended() && (phase != PhaseNone || r.Order.Exists())
}

// Age returns the time since the order was given.
func (r *Rollout) Age(now time.Duration) time.Duration { return now - r.orderedAt }

// begin starts the rollout of another order.
func (r *Rollout) begin(now time.Duration, order Order, foundAtStart bool) {
	if r.Order.Exists() && r.Order.Written.Era < order.Written.Era {
		r.Record = Record{} // the restored store may have issued its number again
	}
	wasInForce := r.previous.Exists() && r.previous.Is(order.Number(), order.Version)
	r.end()
	r.Order, r.orderedAt, r.FoundAtStart, r.Bad = order, now, foundAtStart || wasInForce, ""
	r.Generation++
	if r.isNamedBy(r.Stored) && !r.isNamedBy(r.Record) {
		r.Record = r.Stored
	}
}

// end removes the order in force.
func (r *Rollout) end() {
	if r.Order.Exists() {
		r.previous = r.Order
	}
	r.Order = Order{Service: r.Order.Service}
}

// Table holds the rollouts by service. It is not safe for concurrent use.
type Table struct {
	entries map[string]*Rollout
	// loaded is set after the first complete reading of the store.
	loaded bool
	// era is the latest era of the store that this node has read.
	era uint64
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{entries: make(map[string]*Rollout)} }

func (t *Table) getOrCreate(service string) *Rollout {
	rollout, ok := t.entries[service]
	if !ok {
		rollout = &Rollout{Order: Order{Service: service}}
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

// UnsettledServices returns the sorted names of the services whose rollouts have not ended, or whose
// end must be written to the store again.
func (t *Table) UnsettledServices() []string {
	return slices.DeleteFunc(t.Services(), func(service string) bool {
		rollout := t.entries[service]
		return !rollout.IsOpen() && !rollout.isRecordLost()
	})
}

// OrderChange is the effect of an order on a Table.
type OrderChange int

const (
	// OrderUnchanged means that the order is known or outdated.
	OrderUnchanged OrderChange = iota
	// OrderNew means that the rollout of a new order has begun.
	OrderNew
	// OrderRepeated means that the order in force has another number, since the store was restored.
	OrderRepeated
)

// SetOrder stores an order, and returns its effect.
func (t *Table) SetOrder(now time.Duration, order Order) OrderChange {
	rollout := t.getOrCreate(order.Service)
	switch {
	case !rollout.Order.Written.Before(order.Written):
		return OrderUnchanged
	case rollout.Order.isRepeatedBy(order):
		rollout.renumber(order)
		return OrderRepeated
	}
	rollout.begin(now, order, !t.loaded)
	return OrderNew
}

// Withdraw records that a service has no order any more. It reports whether there was one.
func (t *Table) Withdraw(service string) bool {
	rollout, ok := t.entries[service]
	switch {
	case !ok || !rollout.Order.Exists():
		return false
	case t.isOrderLost(rollout):
		rollout.endLost()
	default:
		rollout.end()
	}
	return true
}

// SetRecord stores a record unless it has no phase or the known one is further ahead. It reports
// whether the phase changed.
func (t *Table) SetRecord(record Record) bool {
	if phaseRanks[record.Phase] == 0 {
		return false
	}
	rollout := t.getOrCreate(record.Service)
	switch {
	case record.Era >= t.era:
		rollout.setStored(record)
	case !rollout.isNamedBy(record):
		return false // its number is from before a restore of the store
	}
	if !record.follows(rollout.Record) {
		return false
	}
	rollout.Record = record
	return true
}

// Listing is a complete listing of orders and records in the store.
type Listing struct {
	Orders  []Order
	Records []Record
	// Era is the era of the store.
	Era uint64
	// Stale is set if the listing may lack the newest orders.
	Stale bool
	// Restored is set if the store was restored from a backup since the previous listing: the
	// listing may lack orders and records that are about to be written again.
	Restored bool
}

// Replace applies a listing. One that may lack orders withdraws none. Replace sets the age of a new
// order from OrderedAt of its record, given the current time of day. It returns the effects of the
// orders by service.
func (t *Table) Replace(now time.Duration, clock time.Time, listing Listing) map[string]OrderChange {
	if listing.Restored {
		t.beginEra(listing)
	}
	t.era = max(t.era, listing.Era)
	changes := make(map[string]OrderChange)
	for _, order := range listing.Orders {
		if listing.Restored && t.precedesOrderInForce(order) {
			continue
		}
		if change := t.SetOrder(now, order); change != OrderUnchanged {
			changes[order.Service] = change
		}
	}
	for _, record := range listing.Records {
		t.SetRecord(record)
	}
	for service, change := range changes {
		if change == OrderNew {
			t.entries[service].restoreAge(now, clock)
		}
	}
	if !listing.Stale && !listing.Restored {
		t.withdrawMissing(listing.Orders)
	}
	t.loaded = true
	return changes
}

// withdrawMissing withdraws all orders that are not in a listing.
func (t *Table) withdrawMissing(orders []Order) {
	present := make(map[string]bool, len(orders))
	for _, order := range orders {
		present[order.Service] = true
	}
	for service, rollout := range t.entries {
		if !present[service] {
			t.Withdraw(service)
			rollout.endIfForgotten()
		}
	}
}

// restoreAge sets the age of the order in force from its record.
func (r *Rollout) restoreAge(now time.Duration, clock time.Time) {
	if !r.isNamedBy(r.Record) {
		return
	}
	age := min(max(clock.Sub(r.Record.OrderedAt), 0), r.Order.Duration)
	r.orderedAt = now - age
}

// Merge applies another node's state of the order in force: its age, its record, and the evidence
// against the target, if there is some. It reports whether the phase changed.
func (t *Table) Merge(now time.Duration, peer Grant) bool {
	rollout, ok := t.entries[peer.Service]
	if !ok || !rollout.Order.Is(peer.Order, peer.Version) {
		return false
	}
	rollout.orderedAt = min(rollout.orderedAt, now-peer.Age)
	if rollout.Bad == "" {
		rollout.Bad = peer.Bad
	}
	return rollout.isNamedBy(peer.Record) && t.SetRecord(peer.Record)
}
