package simulation

// event is an action that runs at a point in virtual time.
type event struct {
	at       Time
	sequence uint64
	action   func()
}

// engine runs events in order of their time. Events of the same time run in the order in which
// they were scheduled.
type engine struct {
	now      Time
	sequence uint64
	heap     []event
}

// scheduleAt schedules an action. A time in the past is replaced by the current time.
func (e *engine) scheduleAt(moment Time, action func()) {
	e.sequence++
	e.heap = append(e.heap, event{at: max(moment, e.now), sequence: e.sequence, action: action})
	e.siftUp(len(e.heap) - 1)
}

// scheduleAfter schedules an action after a delay.
func (e *engine) scheduleAfter(delay Time, action func()) { e.scheduleAt(e.now+delay, action) }

// step runs the next event and reports whether there was one.
func (e *engine) step() bool {
	if len(e.heap) == 0 {
		return false
	}
	next := e.heap[0]
	last := len(e.heap) - 1
	e.heap[0] = e.heap[last]
	e.heap[last] = event{}
	e.heap = e.heap[:last]
	e.siftDown(0)
	e.now = next.at
	next.action()
	return true
}

func (e *engine) less(i, j int) bool {
	if e.heap[i].at != e.heap[j].at {
		return e.heap[i].at < e.heap[j].at
	}
	return e.heap[i].sequence < e.heap[j].sequence
}

func (e *engine) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !e.less(i, parent) {
			return
		}
		e.heap[i], e.heap[parent] = e.heap[parent], e.heap[i]
		i = parent
	}
}

func (e *engine) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(e.heap) {
			return
		}
		if child+1 < len(e.heap) && e.less(child+1, child) {
			child++
		}
		if !e.less(child, i) {
			return
		}
		e.heap[i], e.heap[child] = e.heap[child], e.heap[i]
		i = child
	}
}
