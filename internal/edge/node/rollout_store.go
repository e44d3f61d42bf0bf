package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
)

// found is what a reading of the store holds of roll-outs.
type found struct {
	orders  []rollout.Order
	records []rollout.Record
}

// read takes the roll-outs out of a reading. It needs no mutex.
func (r *rollouts) read(items []mirror.Item) found {
	var all found
	if !r.enabled {
		return all
	}
	for _, item := range items {
		switch r.ports.Decoder.Kind(item.Key) {
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

func (r *rollouts) order(item mirror.Item) (rollout.Order, bool) {
	order, err := r.ports.Decoder.Order(item)
	if err != nil {
		event.Log(r.logger, event.RolloutRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return rollout.Order{}, false
	}
	return order, true
}

func (r *rollouts) record(item mirror.Item) (rollout.Record, bool) {
	record, err := r.ports.Decoder.Record(item)
	if err != nil {
		event.Log(r.logger, event.RolloutRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return rollout.Record{}, false
	}
	return record, true
}

// replace takes in all roll-outs there are. The caller holds the mutex, and
// publishes.
func (r *rollouts) replace(all found, stale bool) {
	if !r.enabled {
		return
	}
	former := r.phases()
	r.book.Replace(r.clock.Now(), time.Now(), all.orders, all.records, stale)
	for _, service := range r.book.Services() {
		if known := r.book.Of(service); known.Phase() != former[service] {
			r.logPhase(known)
		}
	}
	r.settle()
}

func (r *rollouts) phases() map[string]rollout.Phase {
	phases := make(map[string]rollout.Phase)
	for _, service := range r.book.Services() {
		phases[service] = r.book.Of(service).Phase()
	}
	return phases
}

// changeOrder takes in an order, or that it is gone. It takes the mutex, and
// reports whether that is news.
func (r *rollouts) changeOrder(changed mirror.Event) bool {
	if !r.enabled {
		return false
	}
	service := r.ports.Decoder.OrderedService(changed.Key)
	order, ok := rollout.Order{Service: service}, true
	if !changed.Removed {
		order, ok = r.order(changed.Item)
	}
	if !ok {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	news := false
	if changed.Removed {
		news = r.book.Withdraw(service)
	} else {
		news = r.book.SetOrder(r.clock.Now(), order)
	}
	if news {
		event.Log(r.logger, event.RolloutOrdered{
			Service: service, Version: order.Version, Duration: order.Duration, Withdrawn: changed.Removed, Revision: changed.Revision,
		})
		r.settle()
	}
	return news
}

// changeRecord takes in a record. One that is gone changes nothing. It takes the
// mutex, and reports whether the phase is news.
func (r *rollouts) changeRecord(changed mirror.Event) bool {
	if !r.enabled || changed.Removed {
		return false
	}
	record, ok := r.record(changed.Item)
	if !ok {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.setRecord(record)
}

// setRecord takes in a record, and reports whether the phase is news. The caller
// holds the mutex.
func (r *rollouts) setRecord(record rollout.Record) bool {
	if !r.book.SetRecord(record) {
		return false
	}
	r.logPhase(r.book.Of(record.Service))
	r.settle()
	return true
}
