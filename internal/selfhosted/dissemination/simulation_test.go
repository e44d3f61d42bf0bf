package dissemination

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// simulation runs processes, a network and a store in virtual time. All its behavior is determined
// by its random source.
type simulation struct {
	random      *rand.Rand
	config      Config
	disabled    disabledMechanisms
	now         Time
	queue       events
	lastOrder   int
	processes   []*process
	store       simulatedStore
	loss        float64
	partitioned bool
	// blocked, if set, blocks individual links by the names of their processes.
	blocked func(from, to string) bool
	// failFetches makes fetches fail while datagrams pass.
	failFetches bool

	// freshnessChecks counts the freshness checks before an action, and freshChecks those that
	// passed.
	freshnessChecks, freshChecks int
	accepted                     []acceptedChange
	operations                   []*operation
	violations                   []string
}

// acceptedChange records that a revision was accepted no later than at.
type acceptedChange struct {
	revision uint64
	at       Time
}

// operation is one proposal of an operator in the history.
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

func (w *simulation) at(when Time, run func()) {
	w.lastOrder++
	heap.Push(&w.queue, event{max(when, w.now), w.lastOrder, run})
}

func (w *simulation) after(delay Time, run func()) { w.at(w.now+delay, run) }

func (w *simulation) run(until Time) {
	for len(w.queue) > 0 && w.queue[0].at <= until && len(w.violations) == 0 {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = until
}

func (w *simulation) randomTime(low, high Time) Time {
	return low + Time(w.random.Int64N(int64(high-low)+1))
}

func (w *simulation) randomBool(p float64) bool { return w.random.Float64() < p }

func (w *simulation) addViolation(format string, arguments ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, arguments...))
}

func (w *simulation) reachable(a, b int) bool { return !w.partitioned || a == b }

func (w *simulation) linked(from, to *process) bool {
	return w.reachable(from.side, to.side) && (w.blocked == nil || !w.blocked(from.member.Name, to.member.Name))
}

// requiredRevision returns the revision that a fresh node must hold now.
func (w *simulation) requiredRevision() uint64 {
	var revision uint64
	for _, accepted := range w.accepted {
		if w.now > accepted.at+w.config.Window {
			revision = max(revision, accepted.revision)
		}
	}
	return revision
}

func (w *simulation) recordAccepted(revision uint64, at Time) {
	if len(w.accepted) == 0 || w.accepted[len(w.accepted)-1].revision < revision {
		w.accepted = append(w.accepted, acceptedChange{revision, at})
	}
}

func (w *simulation) processAt(address netip.AddrPort) *process {
	for _, p := range w.processes {
		if p.member.Address == address {
			return p
		}
	}
	return nil
}

func (w *simulation) latency() Time {
	if w.randomBool(0.02) {
		return w.randomTime(0, 3*time.Second)
	}
	return w.randomTime(100*time.Microsecond, 5*time.Millisecond)
}

func (w *simulation) transmit(from *process, outgoing Outgoing) {
	to := w.processAt(outgoing.To)
	if to == nil || !w.linked(from, to) || w.randomBool(w.loss) {
		return
	}
	copies := 1
	if w.randomBool(0.02) {
		copies = 2
	}
	for range copies {
		w.after(w.latency(), func() {
			to.runStep(func() { to.core.Step(to.localTime(), from.member.Address, outgoing.Packet) })
		})
	}
}

func (w *simulation) fetch(from *process, fetch Fetch) {
	fail := func() { from.runStep(func() { from.core.StepFetched(from.localTime(), nil) }) }
	to := w.processAt(fetch.To)
	if to == nil || to.dead || w.failFetches || !w.linked(from, to) {
		w.after(w.randomTime(0, time.Second), fail)
		return
	}
	w.after(w.latency(), func() {
		to.runStep(func() {
			response := to.core.AnswerFetch(fetch.Request)
			w.after(w.latency(), func() { from.runStep(func() { from.core.StepFetched(from.localTime(), &response) }) })
		})
	})
}
