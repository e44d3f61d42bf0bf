package dissemination

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// fault is one disturbance of a schedule.
type fault struct {
	kind     string
	at       Time
	duration Time
	target   int
}

// faultKinds lists the kinds of faults.
var faultKinds = []string{
	"outage", "slow store", "lost replies", "stale watch", "loss", "cut", "freeze", "replace",
	"burst", "replace while running", "replace all voters in turn", "forget a majority", "forget all",
}

// schedule defines a simulated run.
type schedule struct {
	seed      uint64
	voters    int
	useRelays bool
	faults    []fault
	disabled  disabledMechanisms
}

const (
	setupTime = 15 * time.Second
	faultTime = 60 * time.Second
	healTime  = 40 * time.Second
	nodeCount = 7
)

// runSchedule runs a schedule and returns the simulation with the violations found.
func runSchedule(s schedule) *simulation {
	sim := newSimulation(s.seed, s.voters, s.useRelays)
	sim.disable(s.disabled)
	for _, f := range s.faults {
		sim.scheduleAt(setupTime+f.at, func() { sim.startFault(f) })
	}
	for at := setupTime; at < setupTime+faultTime; at += sim.randomDuration(200*time.Millisecond, 3*time.Second) {
		sim.scheduleAt(at, sim.proposeRandom)
	}
	sim.run(setupTime + faultTime)
	sim.heal()
	sim.run(sim.now + healTime)
	sim.checkEnd()
	return sim
}

// disable disables mechanisms in all current and future processes.
func (sim *simulation) disable(disabled disabledMechanisms) {
	sim.disabled = disabled
	for _, p := range sim.processes {
		p.core.disabled = disabled
	}
}

// newSimulation returns a simulation whose nodes and voters have completed their setup.
func newSimulation(seed uint64, voters int, relays bool) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 2)), config: DefaultConfig()}
	sim.config.TailLength, sim.config.ReadLimit = 4, 3
	sim.config.CheckpointInterval, sim.config.RetainedInStore = 8, 60
	if relays {
		sim.config.DirectLimit, sim.config.RelayFanout, sim.config.WatchersPerZone = 1, 1, 1
	}
	for index := range nodeCount {
		sim.spawn(nodeName(index), string(rune('a'+index%3)), uint64(1000+index), 0)
	}
	sim.run(2 * time.Second)
	for index := range voters {
		sim.propose(sim.newestProcess(nodeName(0)), addVoterProposal(nodeName(index)), 30*time.Second)
	}
	sim.run(setupTime)
	return sim
}

func addVoterProposal(name string) Proposal {
	return Proposal{Command: catalog.Command{AddVoter: &catalog.AddVoter{Voter: catalog.Voter{Name: name, Zone: "a"}}}}
}

func serviceProposal(name string) Proposal {
	return Proposal{Command: catalog.Command{CreateService: &catalog.CreateService{Name: name, Shards: 2, Replicas: 1}}}
}

func nodeName(index int) string { return fmt.Sprintf("n%d", index) }

// newestProcess returns the process of a name that was started last.
func (sim *simulation) newestProcess(name string) *process {
	for _, p := range slices.Backward(sim.processes) {
		if p.member.Name == name {
			return p
		}
	}
	return nil
}

// voterNames returns the voters according to the store's log.
func (sim *simulation) voterNames() []string {
	current := catalog.Empty()
	for _, change := range sim.store.changes {
		current, _ = catalog.Apply(current, change)
	}
	return current.VoterNames()
}

// replace starts another process of a name after a gap. With a probability of 0.1 its clock is
// behind the clock of its predecessor, so that its incarnation is lower.
func (sim *simulation) replace(name string, stopOld bool, gap Time) {
	old := sim.newestProcess(name)
	if stopOld {
		old.dead = true
	}
	incarnation := old.core.Incarnation() + sim.random.Uint64N(1000) + 1
	if sim.randomBool(0.1) {
		incarnation = old.core.Incarnation() / 2
	}
	sim.scheduleAfter(gap, func() { sim.spawn(name, old.member.Zone, incarnation, sim.random.IntN(2)) })
}

// startFault applies a fault and schedules its end.
func (sim *simulation) startFault(f fault) {
	end := func(run func()) { sim.scheduleAfter(f.duration, run) }
	switch f.kind {
	case "outage":
		sim.store.down = true
		end(func() { sim.store.down = false })
	case "slow store":
		sim.store.maxDelay = 2 * time.Second
		end(func() { sim.store.maxDelay = 0 })
	case "lost replies":
		sim.store.replyLoss = 0.5
		end(func() { sim.store.replyLoss = 0 })
	case "stale watch":
		sim.store.watchLag = 30 * time.Second
		end(func() { sim.store.watchLag = 0 })
	case "loss":
		sim.lossRate = 0.3
		end(func() { sim.lossRate = 0 })
	case "cut":
		sim.partitioned, sim.store.side = true, sim.random.IntN(2)
		for _, p := range sim.processes {
			p.side = sim.random.IntN(2)
		}
		end(func() { sim.partitioned = false })
	case "freeze":
		p := sim.newestProcess(nodeName(f.target))
		p.suspendedUntil = max(p.suspendedUntil, sim.now+f.duration)
	case "burst":
		for index := range 80 {
			name := fmt.Sprintf("burst%d-%d", sim.now, index)
			sim.scheduleAfter(Time(index)*200*time.Millisecond, func() {
				sim.propose(sim.newestProcess(nodeName(f.target)), serviceProposal(name), 3*time.Second)
			})
		}
	case "replace":
		sim.replace(nodeName(f.target), true, f.duration/8)
	case "replace while running":
		sim.replace(nodeName(f.target), false, 0)
	case "replace all voters in turn":
		for index, name := range sim.voterNames() {
			sim.scheduleAfter(Time(index)*f.duration/4, func() { sim.replace(name, true, sim.randomDuration(0, time.Second)) })
		}
	case "forget a majority":
		names := sim.voterNames()
		for _, name := range names[:majority(len(names))] {
			sim.replace(name, true, sim.randomDuration(0, time.Second))
		}
	case "forget all":
		for index := range nodeCount {
			sim.replace(nodeName(index), true, sim.randomDuration(0, time.Second))
		}
	}
}

// heal ends all faults.
func (sim *simulation) heal() {
	sim.partitioned, sim.lossRate = false, 0
	sim.store.down, sim.store.maxDelay, sim.store.replyLoss, sim.store.watchLag = false, 0, 0, 0
	for _, p := range sim.processes {
		p.suspendedUntil = min(p.suspendedUntil, sim.now)
	}
}

// propose passes a proposal to a process. The result is recorded in the returned operation when the
// proposal ends.
func (sim *simulation) propose(p *process, request Proposal, timeout Time) *operation {
	op := &operation{client: len(sim.operations), process: p, request: request, calledAt: sim.now}
	if !request.ResolveFate && request.ChangeID == "" {
		op.request.ChangeID = fmt.Sprintf("T%d", op.client)
	}
	sim.operations = append(sim.operations, op)
	p.runStep(func() {
		submitted := op.request
		submitted.Deadline = p.localTime() + timeout
		p.pending[p.core.Propose(p.localTime(), submitted)] = op
	})
	return op
}

// proposeRandom submits one or two random proposals; two proposals compete with each other.
func (sim *simulation) proposeRandom() {
	for range 1 + sim.random.IntN(2) {
		p := sim.processes[sim.random.IntN(len(sim.processes))]
		if p.dead {
			continue
		}
		request := Proposal{Command: sim.randomCommand(p), DryRun: sim.randomBool(0.05)}
		if sim.randomBool(0.3) {
			revision := p.core.Revision()
			request.IfRevision = &revision
		}
		sim.propose(p, request, sim.randomDuration(time.Second, 12*time.Second))
	}
}

func (sim *simulation) randomCommand(p *process) catalog.Command {
	name := nodeName(sim.random.IntN(nodeCount))
	switch {
	case sim.randomBool(0.08):
		return addVoterProposal(name).Command
	case sim.randomBool(0.08) && len(p.core.Catalog().Voters) > 2:
		return catalog.Command{RemoveVoter: &catalog.RemoveVoter{Name: name}}
	}
	return serviceProposal(fmt.Sprintf("s%d", len(sim.operations))).Command
}
