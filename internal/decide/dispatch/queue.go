package dispatch

// waiter is a shard of a query that waits in the node for a leaf.
type waiter struct {
	query    *query
	position int32
	ticket   uint32
	order    uint64 // of arrival
}

// live reports whether the waiter was not withdrawn.
func (w *waiter) live() bool {
	if w.query.finished || int(w.position) >= len(w.query.shards) {
		return false
	}
	shard := &w.query.shards[w.position]
	return shard.status == shardWaiting && shard.waitFor == w.ticket
}

// parked reports whether the shard still waits for the budget.
func (w *waiter) parked() bool {
	q := w.query
	return !q.finished && int(w.position) < len(q.shards) && q.shards[w.position].status == shardParked
}

// before orders by priority, then by deadline, then by arrival.
func (w *waiter) before(other *waiter) bool {
	a, b := w.query, other.query
	if a.Class.Priority != b.Class.Priority {
		return a.Class.Priority < b.Class.Priority
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return w.order < other.order
}

// waitQueue is a binary heap of waiters. Withdrawn ones are dropped when they
// reach the top; live counts the others.
type waitQueue struct {
	heap []waiter
	live int
}

func (q *waitQueue) push(w waiter) {
	q.heap = append(q.heap, w)
	q.live++
	child := len(q.heap) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !q.heap[child].before(&q.heap[parent]) {
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
		if child+1 < last && q.heap[child+1].before(&q.heap[child]) {
			child++
		}
		if !q.heap[child].before(&q.heap[parent]) {
			return
		}
		q.heap[child], q.heap[parent] = q.heap[parent], q.heap[child]
		parent = child
	}
}
