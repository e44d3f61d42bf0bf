package rollout

import "github.com/micaplank/micaplank/internal/position"

// The rule after a restore of the store from a backup. An order that was in the backup, or that the
// operator writes again, is the same order: its age, its evidence and its phase stay, and its part
// of the bounds is not renewed. Until an order is in the store again it stays in force, and no step
// of it is written. What the store has lost of a phase is written again, by the decider.
//
// Inputs: the era of the store in which an order or a record was written, the order in force and
// the order before it.
//
// Reason: the backup is some seconds old, and revisions are issued again. A version that is known to
// be bad must not get requests because the store has forgotten that.

// beginEra prepares for the first listing of a restored store.
func (t *Table) beginEra(listing Listing) {
	listed := make(map[string]Record, len(listing.Records))
	for _, record := range listing.Records {
		listed[record.Service] = record
	}
	for service, rollout := range t.entries {
		rollout.Stored = Record{}
		if !rollout.isNamedBy(rollout.Record) && !rollout.Record.isOfSameOrder(listed[service]) {
			rollout.Record.Order = 0 // the restored store may issue its number again
		}
	}
}

// precedesOrderInForce reports whether an order of a restored store is the one before the order in
// force, which the backup lacks.
func (t *Table) precedesOrderInForce(order Order) bool {
	rollout, ok := t.entries[order.Service]
	if !ok || !rollout.Order.Exists() || rollout.Order.isRepeatedBy(order) {
		return false
	}
	if rollout.previous.Exists() {
		return rollout.previous.Is(order.Number(), order.Version)
	}
	return rollout.FoundAtStart && order.Number() < rollout.Order.Number()
}

// isOrderLost reports whether the order in force is not in the restored store.
func (t *Table) isOrderLost(rollout *Rollout) bool {
	return rollout.Order.Exists() && rollout.Order.Written.Era < t.era
}

// endLost removes an order in force that the restored store has lost.
func (r *Rollout) endLost() {
	if r.isNamedBy(r.Record) {
		r.Record.Order = 0 // the restored store may issue its number again
	}
	r.end()
}

// renumber sets the position of the order in force in a restored store.
func (r *Rollout) renumber(order Order) {
	if r.isNamedBy(r.Record) {
		r.Record.Order = order.Number()
	}
	r.Order = order
}

// setStored sets the record that the store holds, unless a later one is known.
func (r *Rollout) setStored(record Record) {
	if r.Stored.Written().Before(record.Written()) {
		r.Stored = record
	}
}

// isRecordLost reports whether the phase must be written to the store again. After the order was
// withdrawn, this is so only while the store holds a record of an open rollout.
func (r *Rollout) isRecordLost() bool {
	if !r.Order.Exists() {
		return r.Phase().Ended() && r.Stored.Phase.isOpen()
	}
	return r.Phase() != PhaseNone && !r.Record.isSamePhase(r.Stored)
}

// endIfForgotten rolls an open rollout back of which the store holds neither the order nor a record,
// so that the decider may not know of it.
func (r *Rollout) endIfForgotten() {
	if r.Order.Exists() || !r.IsOpen() || r.Stored.Phase.isOpen() {
		return
	}
	r.Record.Phase = PhaseRolledBack
	r.Record.Reason = "the restored store holds neither the order nor its record"
}

// RecordedAt returns the position at which the phase was written to the store; zero if this is not
// known.
func (r *Rollout) RecordedAt() position.Position {
	if !r.Record.isSamePhase(r.Stored) {
		return position.Position{}
	}
	return r.Stored.Written()
}
