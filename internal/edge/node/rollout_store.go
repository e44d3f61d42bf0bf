package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
)

// rolloutItems holds the orders and records of one full read of the store.
type rolloutItems struct {
	orders  []rollout.Order
	records []rollout.Record
}

// decode decodes the rollouts of a full read. It works without the mutex of the view.
func (r *rolloutDriver) decode(items []mirror.Item) rolloutItems {
	var decoded rolloutItems
	if !r.enabled {
		return decoded
	}
	for _, item := range items {
		switch r.decoder.Kind(item.Key) {
		case KindRolloutOrder:
			if order, ok := r.decodeOrder(item); ok {
				decoded.orders = append(decoded.orders, order)
			}
		case KindRolloutRecord:
			if record, ok := r.decodeRecord(item); ok {
				decoded.records = append(decoded.records, record)
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
func (r *rolloutDriver) replace(decoded rolloutItems, stale bool) {
	if !r.enabled {
		return
	}
	previousPhases := r.phases()
	r.table.Replace(r.clock.Now(), time.Now(), decoded.orders, decoded.records, stale)
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
	service := r.decoder.RolloutService(change.Key)
	order, ok := rollout.Order{Service: service}, true
	if !change.Removed {
		order, ok = r.decodeOrder(change.Item)
	}
	if !ok {
		return false
	}
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	applied := false
	if change.Removed {
		applied = r.table.Withdraw(service)
	} else {
		applied = r.table.SetOrder(r.clock.Now(), order)
	}
	if applied {
		event.Log(r.logger, event.RolloutOrdered{
			Service: service, Target: order.Version, Duration: order.Duration, Withdrawn: change.Removed, Revision: change.Revision,
		})
		r.applyTableChange()
	}
	return applied
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
		return false
	}
	r.logPhase(r.table.Lookup(record.Service))
	r.applyTableChange()
	return true
}
