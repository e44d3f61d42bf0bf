package leaf

import (
	"container/list"
	"context"
	"sync"
	"time"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// smoothing is the weight of a new service time in the running mean.
const serviceTimeSmoothing = 0.1

// slots runs a bounded number of requests at once; others wait in order of
// arrival, up to a bound.
type slots struct {
	mutex      sync.Mutex
	capacity   int
	busy       int
	queueLimit int
	queue      list.List // of *waiter
	// mean is the running mean of the service time.
	meanServiceTime time.Duration
}

type waiter struct {
	granted chan struct{}
}

func newSlots(capacity, queueLimit int) *slots {
	return &slots{capacity: capacity, queueLimit: queueLimit}
}

// acquire blocks until the request has a slot, its remaining time is used up,
// or ctx is done. It refuses at once if the queue is full or the remaining
// time is below the predicted wait. After RefusedNone and a nil error the
// caller has to call release.
func (s *slots) acquire(ctx context.Context, remaining time.Duration) (protocol.Refusal, error) {
	if remaining <= 0 {
		return protocol.RefusedLate, nil
	}
	w, element, refusal := s.acquireOrEnqueue(remaining)
	if w == nil {
		return refusal, nil
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-w.granted:
		return protocol.RefusedNone, nil
	case <-timer.C:
		s.abandon(w, element)
		return protocol.RefusedLate, nil
	case <-ctx.Done():
		s.abandon(w, element)
		return protocol.RefusedNone, ctx.Err()
	}
}

// enter takes a slot or queues a waiter, or returns neither and a refusal.
func (s *slots) acquireOrEnqueue(remaining time.Duration) (*waiter, *list.Element, protocol.Refusal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.busy < s.capacity {
		s.busy++
		return nil, nil, protocol.RefusedNone
	}
	queued := s.queue.Len()
	predicted := s.meanServiceTime * time.Duration(queued+1) / time.Duration(s.capacity)
	if queued >= s.queueLimit || predicted > remaining {
		return nil, nil, protocol.RefusedShed
	}
	w := &waiter{granted: make(chan struct{})}
	return w, s.queue.PushBack(w), protocol.RefusedNone
}

// leave takes a waiter out of the queue, or gives its slot back if it was
// granted one meanwhile.
func (s *slots) abandon(w *waiter, element *list.Element) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-w.granted:
		s.freeSlot()
	default:
		s.queue.Remove(element)
	}
}

// release gives a slot back after it was held for the given time.
func (s *slots) release(held time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.meanServiceTime == 0 {
		s.meanServiceTime = held
	}
	s.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(held-s.meanServiceTime))
	s.freeSlot()
}

func (s *slots) freeSlot() {
	s.busy--
	if front := s.queue.Front(); front != nil && s.busy < s.capacity {
		s.queue.Remove(front)
		s.busy++
		close(front.Value.(*waiter).granted)
	}
}

// occupancy returns the numbers of busy slots and of waiting requests.
func (s *slots) occupancy() (busy, queue int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.busy, s.queue.Len()
}
