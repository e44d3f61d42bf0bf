package leaf

import (
	"container/list"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// queuedWaiter is a request that the model has in its queue.
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

// TestSlotsServeInOrderOfArrival compares with a model: a count of busy slots
// and a queue from which requests may leave at any time.
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
						t.Fatal("a free slot is not given")
					}
				case len(queue) < queueLimit:
					queue = append(queue, modelWaiter{w, element})
				case refusal != protocol.RefusedShed:
					t.Fatal("the full queue takes a request")
				}
			},
			"finish": func(t *rapid.T) {
				if busy == 0 {
					t.Skip("nothing runs")
				}
				s.release(time.Millisecond)
				if len(queue) == 0 {
					busy--
					return
				}
				if !queue[0].isGranted() {
					t.Fatal("the first in the queue is not served")
				}
				queue = queue[1:]
			},
			"leave": func(t *rapid.T) {
				if len(queue) == 0 {
					t.Skip("nothing waits")
				}
				place := rapid.IntRange(0, len(queue)-1).Draw(t, "place")
				s.abandon(queue[place].waiter, queue[place].element)
				queue = slices.Delete(queue, place, place+1)
			},
			"": func(t *rapid.T) {
				gotBusy, gotQueue := s.occupancy()
				if gotBusy != busy || gotQueue != len(queue) {
					t.Fatalf("%d busy and %d queued, expected %d and %d", gotBusy, gotQueue, busy, len(queue))
				}
				if slices.ContainsFunc(queue, modelWaiter.isGranted) {
					t.Fatal("served out of turn")
				}
			},
		})
	})
}
