package dissemination

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
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

// process is one run of a node. A replacement has the same name.
type process struct {
	world       *world
	core        *Core
	member      Member
	offset      Time // of its clock
	dead        bool
	frozenUntil Time
	side        int
	revision    uint64
	view        map[string]Member
	digests     map[uint64]string
	pending     map[ProposalID]*operation
}

type simulatedStore struct {
	changes []catalog.Change
	deleted int // how many of the first are deleted
	// stray holds what was written under deleted keys.
	stray       map[uint64]catalog.Change
	checkpoint  *catalog.Catalog
	down        bool
	slow        Time
	loseReplies float64
	watchLag    Time
	side        int
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

// spawn starts a process; the world's order of spawning gives it its address.
func (w *world) spawn(name, zone string, incarnation uint64, side int) *process {
	port := uint16(10000 + len(w.processes))
	p := &process{
		world: w, side: side, offset: w.between(0, time.Hour), view: map[string]Member{},
		digests: map[uint64]string{}, pending: map[ProposalID]*operation{},
		member: Member{Name: name, Zone: zone, Incarnation: incarnation, Alive: true,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)},
	}
	p.core = New(Options{Config: w.config, Self: p.member, Random: rand.New(rand.NewPCG(w.random.Uint64(), 1))})
	p.core.omit = w.omit
	w.processes = append(w.processes, p)
	p.refreshView()
	p.tick()
	return p
}

func (p *process) local() Time { return p.world.now + p.offset }

func (p *process) frozen() bool { return p.world.now < p.frozenUntil }

// do runs f on the process, after it wakes if it is frozen.
func (p *process) do(f func()) {
	switch {
	case p.dead:
	case p.frozen():
		p.world.at(p.frozenUntil, func() { p.do(f) })
	default:
		p.check()
		f()
		p.collect()
	}
}

func (p *process) tick() {
	p.do(func() { p.core.Tick(p.local()) })
	if !p.dead {
		p.world.after(p.world.between(40*time.Millisecond, 60*time.Millisecond), p.tick)
	}
}

// refreshView lets the process see, for each name, the newest process within
// reach, and remember one that is out of reach as not alive.
func (p *process) refreshView() {
	if p.dead {
		return
	}
	for name, member := range p.view {
		member.Alive = false
		p.view[name] = member
	}
	for _, other := range p.world.processes {
		if other != p && !other.dead && p.world.reach(p.side, other.side) {
			p.view[other.member.Name] = other.member
		}
	}
	list := make([]Member, 0, len(p.view))
	for _, member := range p.view {
		list = append(list, member)
	}
	slices.SortFunc(list, func(a, b Member) int { return a.Address.Compare(b.Address) })
	p.do(func() { p.core.SetMembers(list) })
	p.world.after(p.world.between(200*time.Millisecond, 2*time.Second), p.refreshView)
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

// check is what a node does before it acts.
func (p *process) check() {
	p.checkSlot()
	p.world.asked++
	if !p.core.Fresh(p.local()) {
		return
	}
	p.world.fresh++
	if required := p.world.required(); p.core.Revision() < required {
		p.world.violate("%s (%s) is fresh at revision %d, but %d was accepted more than %v ago",
			p.member.Name, p.member.Address, p.core.Revision(), required, p.world.config.Window)
	}
}

// checkSlot checks that a voter's slot belongs to one process: the last time at
// which it was this one's own is before a successor had been registered.
func (p *process) checkSlot() {
	own, ok := p.core.HeldAt(p.local(), 0)
	if !ok || !p.core.votes() || len(p.core.Catalog().Voters) < 2 {
		return
	}
	for _, other := range p.world.processes {
		taken := &other.core.takeover
		if other.member.Name == p.member.Name && !other.dead && other.core.Incarnation() > p.core.Incarnation() &&
			taken.complete && len(other.core.Catalog().Voters) > 1 && taken.completedAt-other.offset < own-p.offset {
			p.world.violate("slot %s belongs to two processes", p.member.Name)
		}
	}
}

// collect carries out what the core asks for.
func (p *process) collect() {
	w := p.world
	if held := p.core.Revision(); held < p.revision {
		w.violate("%s fell from revision %d to %d", p.member.Name, p.revision, held)
	} else {
		p.revision = held
	}
	for _, proposal := range p.core.proposals {
		if proposal.stage == stageSpread {
			w.accept(proposal.change.Revision, proposal.acceptedAt-p.offset)
		}
	}
	if p.core.Superseded() && w.newest(p.member.Name) == p && !p.dead {
		// Its predecessor's clock was ahead and it met that too late: it exits,
		// as a node does, and is started again.
		w.replace(p.member.Name, true, time.Second)
	}
	ready := p.core.Ready()
	for _, result := range ready.Results {
		p.finish(result)
	}
	for _, packet := range ready.Packets {
		w.after(w.between(0, 300*time.Microsecond), func() { p.do(func() { w.transmit(p, packet) }) })
	}
	if ready.Fetch != nil {
		w.after(0, func() { p.do(func() { w.fetch(p, *ready.Fetch) }) })
	}
	for _, operation := range ready.Store {
		w.after(w.between(0, time.Millisecond), func() { p.do(func() { w.operate(p, operation) }) })
	}
}

func (w *world) accept(revision uint64, at Time) {
	if len(w.accepted) == 0 || w.accepted[len(w.accepted)-1].revision < revision {
		w.accepted = append(w.accepted, acceptedChange{revision, at})
	}
}

func (p *process) finish(result ProposalResult) {
	op := p.pending[result.ID]
	op.done, op.end, op.result = true, p.world.now, result.Result
	if fate := result.Result.Fate; fate == FateInForce || fate == FateAccepted {
		p.world.accept(result.Result.Revision, p.world.now)
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

var errStore = errors.New("the store did not answer")

// operate runs a store operation. A write may take effect long after its
// caller was told that it failed.
func (w *world) operate(p *process, operation StoreOperation) {
	finish := func(delay Time, result StoreResult) {
		result.ID = operation.ID
		w.after(delay, func() { p.do(func() { p.core.StepStore(p.local(), result) }) })
	}
	if w.store.down || !w.reach(p.side, w.store.side) {
		applied := operation.Create != nil && w.reach(p.side, w.store.side) && w.chance(0.2)
		if applied {
			w.after(w.between(0, 8*time.Second), func() { w.store.apply(operation) })
		}
		finish(w.between(0, 3*time.Second), StoreResult{Err: errStore, MaybeApplied: applied || w.chance(0.5)})
		return
	}
	w.after(w.between(0, 2*time.Millisecond)+w.between(0, w.store.slow), func() {
		result := w.store.apply(operation)
		if w.chance(w.store.loseReplies) {
			finish(w.between(0, 3*time.Second), StoreResult{Err: errStore, MaybeApplied: true})
			return
		}
		finish(w.between(0, 2*time.Millisecond)+w.between(0, w.store.slow), result)
		if result.Created {
			w.notify(*operation.Create)
		}
	})
}

// notify tells the watchers of a change, after the lag.
func (w *world) notify(change catalog.Change) {
	for _, p := range w.processes {
		if p.core.watcher() && w.reach(p.side, w.store.side) && !w.store.down {
			w.after(w.between(0, time.Millisecond)+w.store.watchLag, func() {
				p.do(func() { p.core.StepWatched(p.local(), []catalog.Change{change}) })
			})
		}
	}
}

func (s *simulatedStore) apply(operation StoreOperation) StoreResult {
	switch {
	case operation.Create != nil:
		change := *operation.Create
		if change.Revision <= uint64(s.deleted) {
			return s.createStray(change)
		}
		if change.Revision <= uint64(len(s.changes)) {
			existing := s.changes[change.Revision-1]
			return StoreResult{Existing: &existing}
		}
		s.changes = append(s.changes, change)
		return StoreResult{Created: true}
	case operation.Read != nil:
		var changes []catalog.Change
		for revision := operation.Read.From; revision <= uint64(len(s.changes)); revision++ {
			stray, found := s.stray[revision]
			if found {
				changes = append(changes, stray)
			} else if revision > uint64(s.deleted) {
				changes = append(changes, s.changes[revision-1])
			}
			if len(changes) == operation.Read.Limit {
				return StoreResult{Changes: changes, More: revision < uint64(len(s.changes))}
			}
		}
		return StoreResult{Changes: changes}
	case operation.SaveCheckpoint != nil:
		if s.checkpoint == nil || s.checkpoint.Revision < operation.SaveCheckpoint.Catalog.Revision {
			s.checkpoint = operation.SaveCheckpoint.Catalog
		}
		for s.deleted < int(operation.SaveCheckpoint.Keep)-1 {
			s.deleted++
			delete(s.stray, uint64(s.deleted))
		}
		return StoreResult{}
	default:
		return StoreResult{Checkpoint: s.checkpoint}
	}
}

// createStray writes under a key that was deleted, as a store does that
// compares only whether the key exists.
func (s *simulatedStore) createStray(change catalog.Change) StoreResult {
	if existing, found := s.stray[change.Revision]; found {
		return StoreResult{Existing: &existing}
	}
	if s.stray == nil {
		s.stray = map[uint64]catalog.Change{}
	}
	s.stray[change.Revision] = change
	return StoreResult{Created: true}
}
