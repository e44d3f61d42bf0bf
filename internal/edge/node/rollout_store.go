package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
)

// rolloutItems is what a reading of the store holds of roll-outs.
type rolloutItems struct {
	orders  []rollout.Order
	records []rollout.Record
}

// decode decodes the roll-outs of a reading. It needs no mutex.
func (r *rolloutDriver) decode(items []mirror.Item) rolloutItems {
	var all rolloutItems
	if !r.enabled {
		return all
	}
	for _, item := range items {
		switch r.decoder.Kind(item.Key) {
		case KindOrder:
			if order, ok := r.order(item); ok {
				all.orders = append(all.orders, order)
			}
		case KindRecord:
			if record, ok := r.record(item); ok {
				all.records = append(all.records, record)
			}
		}
	}
	return all
}

func (r *rolloutDriver) order(item mirror.Item) (rollout.Order, bool) {
	order, err := r.decoder.Order(item)
	if err != nil {
		event.Log(r.logger, event.RolloutRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return rollout.Order{}, false
	}
	return order, true
}

func (r *rolloutDriver) record(item mirror.Item) (rollout.Record, bool) {
	record, err := r.decoder.Record(item)
	if err != nil {
		event.Log(r.logger, event.RolloutRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return rollout.Record{}, false
	}
	return record, true
}

// replace applies all roll-outs there are. The caller holds the mutex of the view, and
// publishes.
func (r *rolloutDriver) replace(all rolloutItems, stale bool) {
	if !r.enabled {
		return
	}
	former := r.phases()
	r.table.Replace(r.clock.Now(), time.Now(), all.orders, all.records, stale)
	for _, service := range r.table.Services() {
		if known := r.table.Of(service); known.Phase() != former[service] {
			r.logPhase(known)
		}
	}
	r.tableChanged()
}

func (r *rolloutDriver) phases() map[string]rollout.Phase {
	phases := make(map[string]rollout.Phase)
	for _, service := range r.table.Services() {
		phases[service] = r.table.Of(service).Phase()
	}
	return phases
}

// changeOrder applies an order, or its removal. It locks the mutex of the view, and
// reports whether it changes anything.
func (r *rolloutDriver) changeOrder(changed mirror.Event) bool {
	if !r.enabled {
		return false
	}
	service := r.decoder.OrderedService(changed.Key)
	order, ok := rollout.Order{Service: service}, true
	if !changed.Removed {
		order, ok = r.order(changed.Item)
	}
	if !ok {
		return false
	}
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	applied := false
	if changed.Removed {
		applied = r.table.Withdraw(service)
	} else {
		applied = r.table.SetOrder(r.clock.Now(), order)
	}
	if applied {
		event.Log(r.logger, event.RolloutOrdered{
			Service: service, Version: order.Version, Duration: order.Duration, Withdrawn: changed.Removed, Revision: changed.Revision,
		})
		r.tableChanged()
	}
	return applied
}

// changeRecord applies a record. One that is gone changes nothing. It locks the
// mutex of the view, and reports whether the phase changes.
func (r *rolloutDriver) changeRecord(changed mirror.Event) bool {
	if !r.enabled || changed.Removed {
		return false
	}
	record, ok := r.record(changed.Item)
	if !ok {
		return false
	}
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	return r.setRecord(record)
}

// setRecord applies a record, and reports whether the phase changes. The caller
// holds the mutex of the view.
func (r *rolloutDriver) setRecord(record rollout.Record) bool {
	if !r.table.SetRecord(record) {
		return false
	}
	r.logPhase(r.table.Of(record.Service))
	r.tableChanged()
	return true
}
