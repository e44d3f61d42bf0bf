package dissemination

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// process is one run of a node. A replacement has the same name.
type process struct {
	simulation      *simulation
	core            *Core
	member          Member
	clockOffset     Time // difference between its clock and the simulation's clock
	dead            bool
	suspendedUntil  Time
	side            int
	highestRevision uint64
	knownMembers    map[string]Member
	digests         map[uint64]string
	pending         map[ProposalID]*operation
}

// spawn starts a process. Its address is derived from the number of processes started before.
func (sim *simulation) spawn(name, zone string, incarnation uint64, side int) *process {
	port := uint16(10000 + len(sim.processes))
	p := &process{
		simulation: sim, side: side, clockOffset: sim.randomDuration(0, time.Hour), knownMembers: map[string]Member{},
		digests: map[uint64]string{}, pending: map[ProposalID]*operation{},
		member: Member{Name: name, Zone: zone, Incarnation: incarnation, Alive: true,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)},
	}
	p.core = New(Options{Config: sim.config, Self: p.member, Random: rand.New(rand.NewPCG(sim.random.Uint64(), 1))})
	p.core.disabled = sim.disabled
	sim.processes = append(sim.processes, p)
	p.refreshMembers()
	p.tick()
	return p
}

func (p *process) localTime() Time { return p.simulation.now + p.clockOffset }

func (p *process) suspended() bool { return p.simulation.now < p.suspendedUntil }

// runStep runs f on the process, or when its suspension ends.
func (p *process) runStep(f func()) {
	switch {
	case p.dead:
	case p.suspended():
		p.simulation.scheduleAt(p.suspendedUntil, func() { p.runStep(f) })
	default:
		p.checkFreshness()
		f()
		p.runReady()
	}
}

func (p *process) tick() {
	p.runStep(func() { p.core.Tick(p.localTime()) })
	if !p.dead {
		p.simulation.scheduleAfter(p.simulation.randomDuration(40*time.Millisecond, 60*time.Millisecond), p.tick)
	}
}

// refreshMembers updates the process's list of members. It contains the newest reachable process of
// each name; known members that are not reachable are not alive.
func (p *process) refreshMembers() {
	if p.dead {
		return
	}
	for name, member := range p.knownMembers {
		member.Alive = false
		p.knownMembers[name] = member
	}
	for _, other := range p.simulation.processes {
		if other != p && !other.dead && p.simulation.reachable(p.side, other.side) {
			p.knownMembers[other.member.Name] = other.member
		}
	}
	list := make([]Member, 0, len(p.knownMembers))
	for _, member := range p.knownMembers {
		list = append(list, member)
	}
	slices.SortFunc(list, func(a, b Member) int { return a.Address.Compare(b.Address) })
	p.runStep(func() { p.core.SetMembers(list) })
	p.simulation.scheduleAfter(p.simulation.randomDuration(200*time.Millisecond, 2*time.Second), p.refreshMembers)
}

// checkFreshness performs the freshness check that a node makes before it acts. A fresh process
// must hold every revision that was accepted more than one window ago.
func (p *process) checkFreshness() {
	p.checkSlotOwner()
	p.simulation.freshnessChecks++
	if !p.core.Fresh(p.localTime()) {
		return
	}
	p.simulation.freshChecks++
	if requiredRevision := p.simulation.requiredRevision(); p.core.Revision() < requiredRevision {
		p.simulation.addViolation("%s (%s): got fresh at revision %d, but revision %d was accepted more than %v ago",
			p.member.Name, p.member.Address, p.core.Revision(), requiredRevision, p.simulation.config.Window)
	}
}

// checkSlotOwner checks that a voter slot belongs to at most one process: the last time at which
// the slot provably belonged to this process must not be later than the completed registration of a
// successor.
func (p *process) checkSlotOwner() {
	ownedAt, ok := p.core.MajorityHeldAt(p.localTime(), 0)
	if !ok || !p.core.canVote() || len(p.core.Catalog().Voters) < 2 {
		return
	}
	for _, other := range p.simulation.processes {
		successor := &other.core.takeover
		if other.member.Name == p.member.Name && !other.dead && other.core.Incarnation() > p.core.Incarnation() &&
			successor.complete && len(other.core.Catalog().Voters) > 1 && successor.completedAt-other.clockOffset < ownedAt-p.clockOffset {
			p.simulation.addViolation("slot %s belongs to two processes", p.member.Name)
		}
	}
}

// runReady carries out the actions that the core requests.
func (p *process) runReady() {
	sim := p.simulation
	if held := p.core.Revision(); held < p.highestRevision {
		sim.addViolation("%s: revision decreased from %d to %d", p.member.Name, p.highestRevision, held)
	} else {
		p.highestRevision = held
	}
	for _, proposal := range p.core.proposals {
		if proposal.stage == stagePropagate {
			sim.recordAccepted(proposal.change.Revision, proposal.acceptedAt-p.clockOffset)
		}
	}
	if p.core.Superseded() && sim.newestProcess(p.member.Name) == p && !p.dead {
		// The process learned too late of a predecessor whose clock was ahead. It exits, as a
		// node does, and is started again.
		sim.replace(p.member.Name, true, time.Second)
	}
	ready := p.core.Ready()
	for _, result := range ready.Results {
		p.finish(result)
	}
	for _, packet := range ready.Packets {
		sim.scheduleAfter(sim.randomDuration(0, 300*time.Microsecond), func() { p.runStep(func() { sim.transmit(p, packet) }) })
	}
	if ready.Fetch != nil {
		sim.scheduleAfter(0, func() { p.runStep(func() { sim.fetch(p, *ready.Fetch) }) })
	}
	for _, operation := range ready.StoreOperations {
		sim.scheduleAfter(sim.randomDuration(0, time.Millisecond), func() { p.runStep(func() { sim.runStoreOperation(p, operation) }) })
	}
}

func (p *process) finish(result ProposalResult) {
	op := p.pending[result.ID]
	op.done, op.endedAt, op.result = true, p.simulation.now, result.Result
	if fate := result.Result.Fate; fate == FateInForce || fate == FateAccepted {
		p.simulation.recordAccepted(result.Result.Revision, p.simulation.now)
	}
}
