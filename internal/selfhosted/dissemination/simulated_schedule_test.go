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
	seed     uint64
	voters   int
	relays   bool
	faults   []fault
	disabled disabledMechanisms
}

const (
	setupTime = 15 * time.Second
	faultTime = 60 * time.Second
	healTime  = 40 * time.Second
	nodeCount = 7
)

// runSchedule runs a schedule and returns the simulation with the violations found.
func runSchedule(s schedule) *simulation {
	w := newSimulation(s.seed, s.voters, s.relays)
	w.disable(s.disabled)
	for _, f := range s.faults {
		w.at(setupTime+f.at, func() { w.startFault(f) })
	}
	for at := setupTime; at < setupTime+faultTime; at += w.randomTime(200*time.Millisecond, 3*time.Second) {
		w.at(at, w.proposeRandom)
	}
	w.run(setupTime + faultTime)
	w.heal()
	w.run(w.now + healTime)
	w.checkEnd()
	return w
}

// disable disables mechanisms in all current and future processes.
func (w *simulation) disable(disabled disabledMechanisms) {
	w.disabled = disabled
	for _, p := range w.processes {
		p.core.disabled = disabled
	}
}

// newSimulation returns a simulation whose nodes and voters have completed their setup.
func newSimulation(seed uint64, voters int, relays bool) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 2)), config: DefaultConfig()}
	w.config.TailLength, w.config.ReadLimit = 4, 3
	w.config.CheckpointInterval, w.config.RetainedInStore = 8, 60
	if relays {
		w.config.DirectLimit, w.config.RelayFanout, w.config.WatchersPerZone = 1, 1, 1
	}
	for index := range nodeCount {
		w.spawn(nodeName(index), string(rune('a'+index%3)), uint64(1000+index), 0)
	}
	w.run(2 * time.Second)
	for index := range voters {
		w.propose(w.newestProcess(nodeName(0)), addVoterProposal(nodeName(index)), 30*time.Second)
	}
	w.run(setupTime)
	return w
}

func addVoterProposal(name string) Proposal {
	return Proposal{Command: catalog.Command{AddVoter: &catalog.AddVoter{Voter: catalog.Voter{Name: name, Zone: "a"}}}}
}

func serviceProposal(name string) Proposal {
	return Proposal{Command: catalog.Command{CreateService: &catalog.CreateService{Name: name, Shards: 2, Replicas: 1}}}
}

func nodeName(index int) string { return fmt.Sprintf("n%d", index) }

// newestProcess returns the process of a name that was started last.
func (w *simulation) newestProcess(name string) *process {
	for _, p := range slices.Backward(w.processes) {
		if p.member.Name == name {
			return p
		}
	}
	return nil
}

// voterNames returns the voters according to the store's log.
func (w *simulation) voterNames() []string {
	current := catalog.Empty()
	for _, change := range w.store.changes {
		current, _ = catalog.Apply(current, change)
	}
	return current.VoterNames()
}

// replace starts another process of a name after a gap. With a probability of 0.1 its clock is
// behind the clock of its predecessor, so that its incarnation is lower.
func (w *simulation) replace(name string, stopOld bool, gap Time) {
	old := w.newestProcess(name)
	if stopOld {
		old.dead = true
	}
	incarnation := old.core.Incarnation() + w.random.Uint64N(1000) + 1
	if w.randomBool(0.1) {
		incarnation = old.core.Incarnation() / 2
	}
	w.after(gap, func() { w.spawn(name, old.member.Zone, incarnation, w.random.IntN(2)) })
}

// startFault applies a fault and schedules its end.
func (w *simulation) startFault(f fault) {
	end := func(run func()) { w.after(f.duration, run) }
	switch f.kind {
	case "outage":
		w.store.down = true
		end(func() { w.store.down = false })
	case "slow store":
		w.store.maxDelay = 2 * time.Second
		end(func() { w.store.maxDelay = 0 })
	case "lost replies":
		w.store.replyLoss = 0.5
		end(func() { w.store.replyLoss = 0 })
	case "stale watch":
		w.store.watchLag = 30 * time.Second
		end(func() { w.store.watchLag = 0 })
	case "loss":
		w.loss = 0.3
		end(func() { w.loss = 0 })
	case "cut":
		w.partitioned, w.store.side = true, w.random.IntN(2)
		for _, p := range w.processes {
			p.side = w.random.IntN(2)
		}
		end(func() { w.partitioned = false })
	case "freeze":
		p := w.newestProcess(nodeName(f.target))
		p.frozenUntil = max(p.frozenUntil, w.now+f.duration)
	case "burst":
		for index := range 80 {
			name := fmt.Sprintf("burst%d-%d", w.now, index)
			w.after(Time(index)*200*time.Millisecond, func() {
				w.propose(w.newestProcess(nodeName(f.target)), serviceProposal(name), 3*time.Second)
			})
		}
	case "replace":
		w.replace(nodeName(f.target), true, f.duration/8)
	case "replace while running":
		w.replace(nodeName(f.target), false, 0)
	case "replace all voters in turn":
		for index, name := range w.voterNames() {
			w.after(Time(index)*f.duration/4, func() { w.replace(name, true, w.randomTime(0, time.Second)) })
		}
	case "forget a majority":
		names := w.voterNames()
		for _, name := range names[:majority(len(names))] {
			w.replace(name, true, w.randomTime(0, time.Second))
		}
	case "forget all":
		for index := range nodeCount {
			w.replace(nodeName(index), true, w.randomTime(0, time.Second))
		}
	}
}

// heal ends all faults.
func (w *simulation) heal() {
	w.partitioned, w.loss = false, 0
	w.store.down, w.store.maxDelay, w.store.replyLoss, w.store.watchLag = false, 0, 0, 0
	for _, p := range w.processes {
		p.frozenUntil = min(p.frozenUntil, w.now)
	}
}

// propose passes a proposal to a process. The result is recorded in the returned operation when the
// proposal ends.
func (w *simulation) propose(p *process, request Proposal, timeout Time) *operation {
	op := &operation{client: len(w.operations), process: p, request: request, call: w.now}
	if !request.ResolveFate && request.ChangeID == "" {
		op.request.ChangeID = fmt.Sprintf("T%d", op.client)
	}
	w.operations = append(w.operations, op)
	p.runStep(func() {
		submitted := op.request
		submitted.Deadline = p.localTime() + timeout
		p.pending[p.core.Propose(p.localTime(), submitted)] = op
	})
	return op
}

// proposeRandom submits one or two random proposals; two proposals compete with each other.
func (w *simulation) proposeRandom() {
	for range 1 + w.random.IntN(2) {
		p := w.processes[w.random.IntN(len(w.processes))]
		if p.dead {
			continue
		}
		request := Proposal{Command: w.randomCommand(p), DryRun: w.randomBool(0.05)}
		if w.randomBool(0.3) {
			revision := p.core.Revision()
			request.IfRevision = &revision
		}
		w.propose(p, request, w.randomTime(time.Second, 12*time.Second))
	}
}

func (w *simulation) randomCommand(p *process) catalog.Command {
	name := nodeName(w.random.IntN(nodeCount))
	switch {
	case w.randomBool(0.08):
		return addVoterProposal(name).Command
	case w.randomBool(0.08) && len(p.core.Catalog().Voters) > 2:
		return catalog.Command{RemoveVoter: &catalog.RemoveVoter{Name: name}}
	}
	return serviceProposal(fmt.Sprintf("s%d", len(w.operations))).Command
}
