package dispatch

import "time"

// groupQueue holds the waiters of a replica group in a heap for each class.
type groupQueue struct {
	byClass perClass[waitQueue]
	live    int // waiters that are not withdrawn
}

func (g *groupQueue) push(w waiter) {
	g.byClass.ensure(w.query.class).push(w)
	g.live++
}

// head returns the first live waiter, or nil.
func (g *groupQueue) head(now Time) *waiter {
	var best *waiter
	for index := range g.byClass.values {
		head := g.byClass.values[index].head()
		if head != nil && (best == nil || head.precedesNow(best, now)) {
			best = head
		}
	}
	return best
}

// reorder restores the order of the waiters after the deadlines of their queries have changed.
func (g *groupQueue) reorder() {
	for index := range g.byClass.values {
		queue := &g.byClass.values[index]
		waiters := queue.heap
		queue.heap = make([]waiter, 0, len(waiters))
		for _, w := range waiters {
			queue.push(w)
		}
	}
}

// age returns the time since the submission of the first waiting query of a class.
func (g *groupQueue) age(class *classState, now Time) time.Duration {
	head := g.byClass.ensure(class).head()
	if head == nil {
		return 0
	}
	return now - head.query.submitted
}

// waitQueue is a binary heap of waiters. Withdrawn waiters are dropped when they reach the top.
type waitQueue struct {
	heap []waiter
}

func (q *waitQueue) push(w waiter) {
	q.heap = append(q.heap, w)
	child := len(q.heap) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !q.heap[child].precedesByClass(&q.heap[parent]) {
			return
		}
		q.heap[child], q.heap[parent] = q.heap[parent], q.heap[child]
		child = parent
	}
}

// head returns the first live waiter, or nil.
func (q *waitQueue) head() *waiter {
	for len(q.heap) > 0 {
		if q.heap[0].live() {
			return &q.heap[0]
		}
		q.dropHead()
	}
	return nil
}

func (q *waitQueue) dropHead() {
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = waiter{}
	q.heap = q.heap[:last]
	parent := 0
	for {
		child := 2*parent + 1
		if child >= last {
			return
		}
		if child+1 < last && q.heap[child+1].precedesByClass(&q.heap[child]) {
			child++
		}
		if !q.heap[child].precedesByClass(&q.heap[parent]) {
			return
		}
		q.heap[child], q.heap[parent] = q.heap[parent], q.heap[child]
		parent = child
	}
}
