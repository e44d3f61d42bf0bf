package hollow

import (
	"container/heap"
	"net/netip"
	"time"
)

// event is something that happens to a node: a function, a datagram or, with
// neither, a tick.
type event struct {
	at      time.Duration
	order   uint64
	node    *virtualNode
	run     func()
	from    netip.AddrPort
	channel channel
	payload []byte
}

// channel names the protocol of a datagram.
type channel uint8

const (
	channelMembership channel = iota
	channelExchange
)

// eventQueue orders events by time, and equal times by their entry.
type eventQueue struct {
	events events
	last   uint64
}

func (q *eventQueue) push(e event) {
	q.last++
	e.order = q.last
	heap.Push(&q.events, &e)
}

func (q *eventQueue) pop() event    { return *heap.Pop(&q.events).(*event) }
func (q *eventQueue) empty() bool   { return len(q.events) == 0 }
func (q *eventQueue) first() *event { return q.events[0] }

type events []*event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return popped
}
