package leaf

import (
	"container/list"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// modelWaiter is a request in the queue of the model.
type modelWaiter struct {
	*waiter
	element *list.Element
}

func (q modelWaiter) isGranted() bool {
	select {
	case <-q.granted:
		return true
	default:
		return false
	}
}

// TestSlotsFollowFIFOModel compares slots with a model that consists of a count of busy slots and a
// queue that requests may leave at any time.
func TestSlotsFollowFIFOModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 3).Draw(t, "total")
		queueLimit := rapid.IntRange(0, 4).Draw(t, "limit")
		s := newSlots(capacity, queueLimit)
		busy, queue := 0, []modelWaiter{}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				w, element, refusal := s.acquireOrEnqueue(time.Hour)
				switch {
				case busy < capacity:
					busy++
					if w != nil || refusal != protocol.RefusedNone {
						t.Fatalf("arrive with a free slot: got waiter %v, refusal %q, want a slot", w, refusal)
					}
				case len(queue) < queueLimit:
					queue = append(queue, modelWaiter{w, element})
				case refusal != protocol.RefusedShed:
					t.Fatalf("arrive with a full queue: got refusal %q, want %q", refusal, protocol.RefusedShed)
				}
			},
			"finish": func(t *rapid.T) {
				if busy == 0 {
					t.Skip("no slot is busy")
				}
				s.release(time.Millisecond)
				if len(queue) == 0 {
					busy--
					return
				}
				if !queue[0].isGranted() {
					t.Fatal("finish: the first waiter was not granted the slot, want FIFO order")
				}
				queue = queue[1:]
			},
			"leave": func(t *rapid.T) {
				if len(queue) == 0 {
					t.Skip("the queue is empty")
				}
				place := rapid.IntRange(0, len(queue)-1).Draw(t, "place")
				s.abandon(queue[place].waiter, queue[place].element)
				queue = slices.Delete(queue, place, place+1)
			},
			"": func(t *rapid.T) {
				gotBusy, gotQueue := s.occupancy()
				if gotBusy != busy || gotQueue != len(queue) {
					t.Fatalf("got %d busy and %d queued, want %d and %d", gotBusy, gotQueue, busy, len(queue))
				}
				if slices.ContainsFunc(queue, modelWaiter.isGranted) {
					t.Fatal("a waiter in the queue of the model was granted a slot, want FIFO order")
				}
			},
		})
	})
}
