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
	lossRate    float64
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
	client   int
	process  *process
	request  Proposal
	calledAt Time
	endedAt  Time
	done     bool
	result   Result
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

func (sim *simulation) scheduleAt(when Time, run func()) {
	sim.lastOrder++
	heap.Push(&sim.queue, event{max(when, sim.now), sim.lastOrder, run})
}

func (sim *simulation) scheduleAfter(delay Time, run func()) { sim.scheduleAt(sim.now+delay, run) }

func (sim *simulation) run(until Time) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until && len(sim.violations) == 0 {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

func (sim *simulation) randomDuration(low, high Time) Time {
	return low + Time(sim.random.Int64N(int64(high-low)+1))
}

func (sim *simulation) randomBool(p float64) bool { return sim.random.Float64() < p }

func (sim *simulation) addViolation(format string, arguments ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, arguments...))
}

func (sim *simulation) reachable(a, b int) bool { return !sim.partitioned || a == b }

func (sim *simulation) linked(from, to *process) bool {
	return sim.reachable(from.side, to.side) && (sim.blocked == nil || !sim.blocked(from.member.Name, to.member.Name))
}

// requiredRevision returns the revision that a fresh node must hold now.
func (sim *simulation) requiredRevision() uint64 {
	var revision uint64
	for _, accepted := range sim.accepted {
		if sim.now > accepted.at+sim.config.Window {
			revision = max(revision, accepted.revision)
		}
	}
	return revision
}

func (sim *simulation) recordAccepted(revision uint64, at Time) {
	if len(sim.accepted) == 0 || sim.accepted[len(sim.accepted)-1].revision < revision {
		sim.accepted = append(sim.accepted, acceptedChange{revision, at})
	}
}

func (sim *simulation) processAt(address netip.AddrPort) *process {
	for _, p := range sim.processes {
		if p.member.Address == address {
			return p
		}
	}
	return nil
}

func (sim *simulation) latency() Time {
	if sim.randomBool(0.02) {
		return sim.randomDuration(0, 3*time.Second)
	}
	return sim.randomDuration(100*time.Microsecond, 5*time.Millisecond)
}

func (sim *simulation) transmit(from *process, outgoing Outgoing) {
	to := sim.processAt(outgoing.To)
	if to == nil || !sim.linked(from, to) || sim.randomBool(sim.lossRate) {
		return
	}
	copies := 1
	if sim.randomBool(0.02) {
		copies = 2
	}
	for range copies {
		sim.scheduleAfter(sim.latency(), func() {
			to.runStep(func() { to.core.Step(to.localTime(), from.member.Address, outgoing.Packet) })
		})
	}
}

func (sim *simulation) fetch(from *process, fetch Fetch) {
	fail := func() { from.runStep(func() { from.core.StepFetched(from.localTime(), nil) }) }
	to := sim.processAt(fetch.To)
	if to == nil || to.dead || sim.failFetches || !sim.linked(from, to) {
		sim.scheduleAfter(sim.randomDuration(0, time.Second), fail)
		return
	}
	sim.scheduleAfter(sim.latency(), func() {
		to.runStep(func() {
			response := to.core.AnswerFetch(fetch.Request)
			sim.scheduleAfter(sim.latency(), func() { from.runStep(func() { from.core.StepFetched(from.localTime(), &response) }) })
		})
	})
}
