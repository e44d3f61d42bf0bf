package leaf

import (
	"container/list"
	"context"
	"sync"
	"time"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// serviceTimeSmoothing is the weight of a new service time in the moving average.
const serviceTimeSmoothing = 0.1

// slots limits the number of concurrent requests. Further requests wait in a bounded FIFO queue.
type slots struct {
	mutex      sync.Mutex
	capacity   int
	busy       int
	queueLimit int
	queue      list.List // of *waiter
	// meanServiceTime is the exponential moving average of the service times.
	meanServiceTime time.Duration
}

// waiter is a queued request. Its channel is closed when it is granted a slot.
type waiter struct {
	granted chan struct{}
}

func newSlots(capacity, queueLimit int) *slots {
	return &slots{capacity: capacity, queueLimit: queueLimit}
}

// acquire blocks until the request has a slot, its remaining time has passed or ctx ends. It
// refuses the request immediately if the queue is full or the predicted wait exceeds the remaining
// time. If it returns RefusedNone and no error, the caller must call release.
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

// acquireOrEnqueue takes a free slot, or enqueues a waiter and returns it, or returns a refusal.
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

// abandon removes a waiter from the queue, or frees its slot if it has been granted one in the
// meantime.
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

// release frees a slot that was held for the given time.
func (s *slots) release(held time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.meanServiceTime == 0 {
		s.meanServiceTime = held
	}
	s.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(held-s.meanServiceTime))
	s.freeSlot()
}

// freeSlot frees a slot and grants it to the first waiter. The caller must hold the mutex.
func (s *slots) freeSlot() {
	s.busy--
	if front := s.queue.Front(); front != nil && s.busy < s.capacity {
		s.queue.Remove(front)
		s.busy++
		close(front.Value.(*waiter).granted)
	}
}

// occupancy returns the number of busy slots and the length of the queue.
func (s *slots) occupancy() (busy, queue int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.busy, s.queue.Len()
}
