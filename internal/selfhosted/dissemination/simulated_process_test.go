package dissemination

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

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

func (p *process) finish(result ProposalResult) {
	op := p.pending[result.ID]
	op.done, op.end, op.result = true, p.world.now, result.Result
	if fate := result.Result.Fate; fate == FateInForce || fate == FateAccepted {
		p.world.accept(result.Result.Revision, p.world.now)
	}
}
