package dissemination

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// world simulates processes, a network and a store in virtual time. Everything
// follows from its random source.
type world struct {
	random    *rand.Rand
	config    Config
	omit      omissions
	now       Time
	queue     events
	last      int
	processes []*process
	store     simulatedStore
	loss      float64
	cut       bool
	// blocked, if set, cuts single links, by the names of the processes.
	blocked func(from, to string) bool
	// noFetches makes fetches fail while datagrams pass.
	noFetches bool

	// asked and fresh count the checks before acting, and those that passed.
	asked, fresh int
	accepted     []acceptedChange
	operations   []*operation
	violations   []string
}

// acceptedChange says that a revision was accepted no later than at.
type acceptedChange struct {
	revision uint64
	at       Time
}

// operation is one proposal of an operator, for the history.
type operation struct {
	client  int
	process *process
	request Proposal
	call    Time
	end     Time
	done    bool
	result  Result
}

type event struct {
	at    Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *world) at(when Time, run func()) {
	w.last++
	heap.Push(&w.queue, event{max(when, w.now), w.last, run})
}

func (w *world) after(delay Time, run func()) { w.at(w.now+delay, run) }

func (w *world) run(until Time) {
	for len(w.queue) > 0 && w.queue[0].at <= until && len(w.violations) == 0 {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = until
}

func (w *world) between(low, high Time) Time { return low + Time(w.random.Int64N(int64(high-low)+1)) }

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) violate(format string, arguments ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, arguments...))
}

func (w *world) reach(a, b int) bool { return !w.cut || a == b }

func (w *world) linked(from, to *process) bool {
	return w.reach(from.side, to.side) && (w.blocked == nil || !w.blocked(from.member.Name, to.member.Name))
}

// required returns the revision that a fresh node must hold now.
func (w *world) required() uint64 {
	var revision uint64
	for _, accepted := range w.accepted {
		if w.now > accepted.at+w.config.Window {
			revision = max(revision, accepted.revision)
		}
	}
	return revision
}

func (w *world) accept(revision uint64, at Time) {
	if len(w.accepted) == 0 || w.accepted[len(w.accepted)-1].revision < revision {
		w.accepted = append(w.accepted, acceptedChange{revision, at})
	}
}

func (w *world) find(address netip.AddrPort) *process {
	for _, p := range w.processes {
		if p.member.Address == address {
			return p
		}
	}
	return nil
}

func (w *world) latency() Time {
	if w.chance(0.02) {
		return w.between(0, 3*time.Second)
	}
	return w.between(100*time.Microsecond, 5*time.Millisecond)
}

func (w *world) transmit(from *process, outgoing Outgoing) {
	to := w.find(outgoing.To)
	if to == nil || !w.linked(from, to) || w.chance(w.loss) {
		return
	}
	copies := 1
	if w.chance(0.02) {
		copies = 2
	}
	for range copies {
		w.after(w.latency(), func() {
			to.do(func() { to.core.Step(to.local(), from.member.Address, outgoing.Packet) })
		})
	}
}

func (w *world) fetch(from *process, fetch Fetch) {
	fail := func() { from.do(func() { from.core.StepFetched(from.local(), nil) }) }
	to := w.find(fetch.To)
	if to == nil || to.dead || w.noFetches || !w.linked(from, to) {
		w.after(w.between(0, time.Second), fail)
		return
	}
	w.after(w.latency(), func() {
		to.do(func() {
			response := to.core.AnswerFetch(fetch.Request)
			w.after(w.latency(), func() { from.do(func() { from.core.StepFetched(from.local(), &response) }) })
		})
	})
}
