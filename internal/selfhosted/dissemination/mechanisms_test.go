package dissemination

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// mechanismCase names a safety mechanism that can be disabled and a way to search for a schedule in
// which its absence causes a violation: either a script or random schedules.
type mechanismCase struct {
	name      string
	disabled  disabledMechanisms
	script    func(sim *simulation) // scripted schedule, nil for random schedules
	voters    int
	kinds     []string // kinds of faults in random schedules
	firstSeed uint64   // first seed of the search
}

var mechanismCases = []mechanismCase{
	{name: "majority", disabled: disabledMechanisms{majority: true}, kinds: faultKinds, firstSeed: 17},
	{name: "send time", disabled: disabledMechanisms{sendTime: true}, kinds: []string{"loss", "cut", "freeze", "outage"}, firstSeed: 18},
	{name: "read back", disabled: disabledMechanisms{readBack: true}, kinds: []string{"lost replies", "outage"}},
	{name: "monotonic", disabled: disabledMechanisms{monotonic: true}, script: installStaleFetch, voters: 3},
	{name: "recovery", disabled: disabledMechanisms{recovery: true}, script: replaceVoterAmongLaggards, voters: 3},
	{name: "registration", disabled: disabledMechanisms{registration: true}, script: replaceVoterAcrossPartition, voters: 3},
	{name: "supersession", disabled: disabledMechanisms{supersession: true}, script: partitionReplacedVoter, voters: 3},
	{name: "second round", disabled: disabledMechanisms{secondRound: true}, script: replaceVoterBetweenRounds, voters: 5},
	{name: "stale write", disabled: disabledMechanisms{staleWrite: true}, kinds: []string{"burst", "replace", "freeze", "cut"}, firstSeed: 43},
	{name: "voter guard", disabled: disabledMechanisms{voterGuard: true}, script: addVotersDuringPartition, voters: 3},
}

// partition places the named processes and the store on one side of a network partition and all
// other processes on the other side.
func (sim *simulation) partition(names ...string) {
	sim.partitioned, sim.store.side = true, 1
	for _, p := range sim.processes {
		p.side = 0
		if slices.Contains(names, p.member.Name) {
			p.side = 1
		}
	}
}

// spawnReplacement starts a process with the name and zone of an existing one and the next
// incarnation, without stopping the existing one.
func (sim *simulation) spawnReplacement(name string, side int) *process {
	old := sim.newestProcess(name)
	return sim.spawn(name, old.member.Zone, old.core.Incarnation()+1, side)
}

// installStaleFetch delivers to n6 a checkpoint that n6 fetched before a change.
func installStaleFetch(sim *simulation) {
	p := sim.newestProcess("n6")
	old := FetchResponse{Checkpoint: p.core.Catalog()}
	sim.propose(sim.newestProcess("n3"), serviceProposal("late"), 2*time.Second)
	sim.run(sim.now + 2*time.Second)
	p.runStep(func() { p.core.StepFetched(p.localTime(), &old) })
}

// replaceVoterAmongLaggards makes n0 and n1 accept a change that n2 misses. Then n1 is replaced and
// can reach only n2.
func replaceVoterAmongLaggards(sim *simulation) {
	sim.partition("n0", "n1", "n3")
	sim.run(sim.now + 3*time.Second)
	sim.propose(sim.newestProcess("n3"), serviceProposal("late"), 2*time.Second)
	sim.run(sim.now + time.Second)
	sim.newestProcess("n1").dead = true
	sim.spawnReplacement("n1", 0)
	sim.run(sim.now + 10*time.Second)
}

// replaceVoterAcrossPartition replaces n1 on the side of the store, while its predecessor continues
// to run on the other side, with n2.
func replaceVoterAcrossPartition(sim *simulation) {
	sim.partition("n0", "n3")
	sim.run(sim.now + 3*time.Second)
	sim.spawnReplacement("n1", 1)
	sim.run(sim.now + 5*time.Second)
	sim.propose(sim.newestProcess("n3"), serviceProposal("late"), 5*time.Second)
	sim.run(sim.now + 12*time.Second)
}

// partitionReplacedVoter replaces n1 while all processes are connected. Then a partition separates
// the predecessor, with n2, from the successor, with n0.
func partitionReplacedVoter(sim *simulation) {
	predecessor := sim.newestProcess("n1")
	successor := sim.spawnReplacement("n1", 0)
	sim.run(sim.now + 3*time.Second)
	sim.partition("n0", "n3")
	successor.side, predecessor.side = 1, 0
	sim.propose(sim.newestProcess("n3"), serviceProposal("late"), 5*time.Second)
	sim.run(sim.now + 12*time.Second)
}

// allowOnlyLinks blocks all links except the given pairs. The pair "03" is the link between n0 and
// n3.
func (sim *simulation) allowOnlyLinks(pairs ...string) {
	sim.blocked = func(from, to string) bool {
		return !slices.Contains(pairs, from[1:]+to[1:]) && !slices.Contains(pairs, to[1:]+from[1:])
	}
}

// replaceVoterBetweenRounds has the voters n0 to n4. n0 and n1 hold a change and report it to the
// proposer n5. Then n1 is replaced. n0, n3 and n4 register the successor, and n6 relays a
// confirmation to it that is based on n2, n3 and n4, which lack the change. Only then does n2
// receive the change and report it to n5, without knowing the successor.
func replaceVoterBetweenRounds(sim *simulation) {
	sim.store.watchLag = time.Hour
	sim.allowOnlyLinks("05", "15")
	sim.propose(sim.newestProcess("n5"), serviceProposal("late"), 20*time.Second)
	for head := len(sim.store.changes); len(sim.store.changes) == head; {
		sim.run(sim.now + time.Millisecond)
	}
	sim.store.down, sim.failFetches = true, true
	sim.run(sim.now + 500*time.Millisecond)
	sim.newestProcess("n1").dead = true
	sim.spawnReplacement("n1", 0)
	sim.allowOnlyLinks("13", "14", "16", "26", "36", "46")
	sim.failFetches = false
	sim.run(sim.now + time.Second)
	sim.failFetches = true
	sim.allowOnlyLinks("01", "13", "14", "16", "26", "36", "46")
	sim.run(sim.now + 4*time.Second)
	sim.failFetches = false
	sim.allowOnlyLinks("25", "13", "14", "34", "16", "36", "46")
	sim.run(sim.now + 14*time.Second)
}

// addVotersDuringPartition makes n2 add n3 and n4 to the voters n0, n1 and n2 while n0 and n1 are
// unreachable, except for a short time in which n0 registers the new voters.
func addVotersDuringPartition(sim *simulation) {
	sim.partition("n2", "n3", "n4")
	sim.run(sim.now + 3*time.Second)
	for _, name := range []string{"n3", "n4"} {
		sim.propose(sim.newestProcess("n2"), addVoterProposal(name), 2*time.Second)
		sim.run(sim.now + 3*time.Second)
	}
	sim.newestProcess("n0").side = 1
	sim.allowOnlyLinks("03", "04", "23", "24", "34")
	sim.failFetches = true
	sim.run(sim.now + 3*time.Second)
	sim.blocked, sim.failFetches = nil, false
	sim.newestProcess("n0").side = 0
	sim.propose(sim.newestProcess("n2"), serviceProposal("late"), 2*time.Second)
	sim.run(sim.now + 12*time.Second)
}

// run returns the violations of a schedule with the given mechanisms disabled.
func (m mechanismCase) run(seed uint64, disabled disabledMechanisms) []string {
	if m.script == nil {
		return runSchedule(randomSchedule(seed, m.kinds, disabled)).violations
	}
	sim := newSimulation(seed, m.voters, false)
	sim.disable(disabled)
	m.script(sim)
	return sim.violations
}

// randomSchedule derives a schedule from a seed.
func randomSchedule(seed uint64, kinds []string, disabled disabledMechanisms) schedule {
	random := rand.New(rand.NewPCG(seed, 3))
	s := schedule{seed: seed, voters: []int{3, 5}[random.IntN(2)], useRelays: random.IntN(2) == 0, disabled: disabled}
	for range 2 + random.IntN(4) {
		s.faults = append(s.faults, fault{
			kind:     kinds[random.IntN(len(kinds))],
			at:       Time(random.IntN(40)) * time.Second,
			duration: Time(1+random.IntN(25)) * time.Second,
			target:   random.IntN(nodeCount),
		})
	}
	return s
}

// maxSeeds is the maximum number of schedules that are run to find a violation.
const maxSeeds = 100

// TestEachMechanismIsNeeded disables one safety mechanism at a time. Some schedule must then show a
// violation, and the same schedule must show none with all mechanisms enabled.
func TestEachMechanismIsNeeded(t *testing.T) {
	t.Parallel()
	for _, m := range mechanismCases {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := m.firstSeed; seed < m.firstSeed+maxSeeds; seed++ {
				violations := m.run(seed, m.disabled)
				if len(violations) == 0 {
					continue
				}
				t.Logf("seed %d, mechanism disabled: %v", seed, violations)
				if baseline := m.run(seed, disabledMechanisms{}); len(baseline) > 0 {
					t.Fatalf("seed %d, all mechanisms enabled: got violations %v, want none", seed, baseline)
				}
				return
			}
			t.Fatalf("mechanism disabled: got no violation in %d schedules, want at least one", maxSeeds)
		})
	}
}
