package leaf

import (
	"container/list"
	"context"
	"sync"
	"time"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// smoothing is the weight of a new service time in the running mean.
const smoothing = 0.1

// slots runs a bounded number of requests at once; others wait in order of
// arrival, up to a bound.
type slots struct {
	mutex   sync.Mutex
	total   int
	busy    int
	limit   int
	waiting list.List // of *waiter
	// mean is the running mean of the service time.
	mean time.Duration
}

type waiter struct {
	granted chan struct{}
}

func newSlots(total, limit int) *slots {
	return &slots{total: total, limit: limit}
}

// acquire blocks until the request has a slot, its remaining time is used up,
// or ctx is done. It refuses at once if the queue is full or the remaining
// time is below the predicted wait. After RefusedNone and a nil error the
// caller has to call release.
func (s *slots) acquire(ctx context.Context, remaining time.Duration) (protocol.Refusal, error) {
	if remaining <= 0 {
		return protocol.RefusedLate, nil
	}
	w, element, refusal := s.enter(remaining)
	if w == nil {
		return refusal, nil
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-w.granted:
		return protocol.RefusedNone, nil
	case <-timer.C:
		s.leave(w, element)
		return protocol.RefusedLate, nil
	case <-ctx.Done():
		s.leave(w, element)
		return protocol.RefusedNone, ctx.Err()
	}
}

// enter takes a slot or queues a waiter, or returns neither and a refusal.
func (s *slots) enter(remaining time.Duration) (*waiter, *list.Element, protocol.Refusal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.busy < s.total {
		s.busy++
		return nil, nil, protocol.RefusedNone
	}
	queued := s.waiting.Len()
	predicted := s.mean * time.Duration(queued+1) / time.Duration(s.total)
	if queued >= s.limit || predicted > remaining {
		return nil, nil, protocol.RefusedShed
	}
	w := &waiter{granted: make(chan struct{})}
	return w, s.waiting.PushBack(w), protocol.RefusedNone
}

// leave takes a waiter out of the queue, or gives its slot back if it was
// granted one meanwhile.
func (s *slots) leave(w *waiter, element *list.Element) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-w.granted:
		s.passOn()
	default:
		s.waiting.Remove(element)
	}
}

// release gives a slot back after it was held for the given time.
func (s *slots) release(held time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.mean == 0 {
		s.mean = held
	}
	s.mean += time.Duration(smoothing * float64(held-s.mean))
	s.passOn()
}

func (s *slots) passOn() {
	s.busy--
	if front := s.waiting.Front(); front != nil && s.busy < s.total {
		s.waiting.Remove(front)
		s.busy++
		close(front.Value.(*waiter).granted)
	}
}

// occupancy returns the numbers of busy slots and of waiting requests.
func (s *slots) occupancy() (busy, queue int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.busy, s.waiting.Len()
}
