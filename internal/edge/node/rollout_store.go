package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
)

// decode decodes the rollouts of a full read. It works without the mutex of the view.
func (r *rolloutDriver) decode(items []mirror.Item, read mirror.ReadInfo) rollout.Listing {
	decoded := rollout.Listing{Era: read.To.Era, Stale: read.Stale, Restored: read.Restored}
	if !r.enabled {
		return decoded
	}
	for _, item := range items {
		switch r.decoder.Kind(item.Key) {
		case KindRolloutOrder:
			if order, ok := r.decodeOrder(item); ok {
				decoded.Orders = append(decoded.Orders, order)
			}
		case KindRolloutRecord:
			if record, ok := r.decodeRecord(item); ok {
				decoded.Records = append(decoded.Records, record)
			}
		}
	}
	return decoded
}

func (r *rolloutDriver) decodeOrder(item mirror.Item) (rollout.Order, bool) {
	order, err := r.decoder.RolloutOrder(item)
	if err != nil {
		event.Log(r.logger, event.RolloutRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return rollout.Order{}, false
	}
	return order, true
}

func (r *rolloutDriver) decodeRecord(item mirror.Item) (rollout.Record, bool) {
	record, err := r.decoder.RolloutRecord(item)
	if err != nil {
		event.Log(r.logger, event.RolloutRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return rollout.Record{}, false
	}
	return record, true
}

// replace applies the rollouts of a full read. The caller holds the mutex of the view, and
// publishes afterwards.
func (r *rolloutDriver) replace(listing rollout.Listing) {
	if !r.enabled {
		return
	}
	previousPhases := r.phases()
	changes := r.table.Replace(r.clock.Now(), time.Now(), listing)
	if listing.Restored {
		r.restartDecider()
	}
	for service, change := range changes {
		r.applyOrderChange(service, change)
	}
	for _, service := range r.table.Services() {
		if state := r.table.Lookup(service); state.Phase() != previousPhases[service] {
			r.logPhase(state)
		}
	}
	r.applyTableChange()
}

func (r *rolloutDriver) phases() map[string]rollout.Phase {
	phases := make(map[string]rollout.Phase)
	for _, service := range r.table.Services() {
		phases[service] = r.table.Lookup(service).Phase()
	}
	return phases
}

// applyOrderEvent applies an order or its removal, and reports whether the rollout changed. It
// locks the mutex of the view.
func (r *rolloutDriver) applyOrderEvent(change mirror.Event) bool {
	if !r.enabled {
		return false
	}
	if change.Removed {
		return r.withdraw(r.decoder.RolloutService(change.Key), change.Revision)
	}
	order, ok := r.decodeOrder(change.Item)
	if !ok {
		return false
	}
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	effect := r.table.SetOrder(r.clock.Now(), order)
	if effect == rollout.OrderUnchanged {
		return false
	}
	r.applyOrderChange(order.Service, effect)
	r.applyTableChange()
	return true
}

// withdraw applies the removal of an order, and reports whether there was one. It locks the mutex of
// the view.
func (r *rolloutDriver) withdraw(service string, revision uint64) bool {
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	if !r.table.Withdraw(service) {
		return false
	}
	event.Log(r.logger, event.RolloutOrdered{Service: service, Withdrawn: true, Revision: revision})
	r.applyTableChange()
	return true
}

// applyOrderChange applies the effect of an order on the table. The counts of this node move to the
// new number of a repeated order. The caller holds the mutex of the view.
func (r *rolloutDriver) applyOrderChange(service string, change rollout.OrderChange) {
	state := r.table.Lookup(service)
	order, repeated := state.Order, change == rollout.OrderRepeated
	if repeated || !state.FoundAtStart {
		event.Log(r.logger, event.RolloutOrdered{
			Service: service, Target: order.Version, Duration: order.Duration, Repeated: repeated,
			Era: order.Written.Era, Revision: order.Written.Revision,
		})
	}
	if repeated {
		r.counter.Renumber(service, order.Number())
		r.restartDecider()
	}
}

// restartDecider makes all nodes report their complete counts again, by the numbers that orders have
// in a restored store. The caller holds the mutex of the view.
func (r *rolloutDriver) restartDecider() {
	r.decider = rollout.NewDecider(r.table, newIncarnation(r.self))
}

// applyRecordEvent applies a record, and reports whether the phase changed. The removal of a record
// changes nothing. It locks the mutex of the view.
func (r *rolloutDriver) applyRecordEvent(change mirror.Event) bool {
	if !r.enabled || change.Removed {
		return false
	}
	record, ok := r.decodeRecord(change.Item)
	if !ok {
		return false
	}
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	return r.setRecord(record)
}

// setRecord applies a record, and reports whether the phase changed. The caller holds the mutex of
// the view.
func (r *rolloutDriver) setRecord(record rollout.Record) bool {
	if !r.table.SetRecord(record) {
		r.updateUnsettled()
		return false
	}
	r.logPhase(r.table.Lookup(record.Service))
	r.applyTableChange()
	return true
}
