package dispatch

// timerHeap is a binary heap of queries ordered by the time of their next event.
type timerHeap []*query

// set moves the query to the given time and adds it to the heap if needed.
func (h *timerHeap) set(q *query, at Time) {
	q.timer.at = at
	if q.timer.index < 0 {
		q.timer.index = len(*h)
		*h = append(*h, q)
	}
	h.siftDown(h.siftUp(q.timer.index))
}

func (h *timerHeap) remove(q *query) {
	if q.timer.index < 0 {
		return
	}
	index, last := q.timer.index, len(*h)-1
	h.swap(index, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	q.timer.index = -1
	if index < last {
		h.siftDown(h.siftUp(index))
	}
}

func (h timerHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer.index, h[j].timer.index = i, j
}

func (h timerHeap) siftUp(index int) int {
	for index > 0 {
		parent := (index - 1) / 2
		if h[parent].timer.at <= h[index].timer.at {
			break
		}
		h.swap(index, parent)
		index = parent
	}
	return index
}

func (h timerHeap) siftDown(index int) {
	for {
		child := 2*index + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].timer.at < h[child].timer.at {
			child++
		}
		if h[index].timer.at <= h[child].timer.at {
			return
		}
		h.swap(index, child)
		index = child
	}
}
