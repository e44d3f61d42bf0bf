package dissemination

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// mechanism is one that can be left out, with a search for a schedule in which
// that is noticed.
type mechanismCase struct {
	name      string
	disabled  disabledMechanisms
	script    func(w *simulation) // directed schedule with a number of voters, or
	voters    int
	kinds     []string // faults of random schedules
	firstSeed uint64   // first seed to be tried
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

// cutAt puts the named processes and the store on one side of a cut and
// everything else on the other.
func (w *simulation) partition(names ...string) {
	w.partitioned, w.store.side = true, 1
	for _, p := range w.processes {
		p.side = 0
		if slices.Contains(names, p.member.Name) {
			p.side = 1
		}
	}
}

func (w *simulation) spawnReplacement(name string, side int) *process {
	old := w.newestProcess(name)
	return w.spawn(name, old.member.Zone, old.core.Incarnation()+1, side)
}

// fetchesLate: n6 gets a checkpoint that it fetched before a change.
func installStaleFetch(w *simulation) {
	p := w.newestProcess("n6")
	old := FetchResponse{Checkpoint: p.core.Catalog()}
	w.propose(w.newestProcess("n3"), serviceProposal("late"), 2*time.Second)
	w.run(w.now + 2*time.Second)
	p.runStep(func() { p.core.StepFetched(p.localTime(), &old) })
}

// forgetsAndMeetsOnlyLaggards: n0 and n1 accept a change that n2 misses; then
// n1 is replaced and meets only n2.
func replaceVoterAmongLaggards(w *simulation) {
	w.partition("n0", "n1", "n3")
	w.run(w.now + 3*time.Second)
	w.propose(w.newestProcess("n3"), serviceProposal("late"), 2*time.Second)
	w.run(w.now + time.Second)
	w.newestProcess("n1").dead = true
	w.spawnReplacement("n1", 0)
	w.run(w.now + 10*time.Second)
}

// replacedBehindACut: n1 is replaced on the side of the store, while its
// predecessor runs on at the other, with n2.
func replaceVoterAcrossPartition(w *simulation) {
	w.partition("n0", "n3")
	w.run(w.now + 3*time.Second)
	w.spawnReplacement("n1", 1)
	w.run(w.now + 5*time.Second)
	w.propose(w.newestProcess("n3"), serviceProposal("late"), 5*time.Second)
	w.run(w.now + 12*time.Second)
}

// predecessorRunsOn: n1 is replaced while all are connected; then a cut leaves
// the predecessor with n2, and the successor with n0.
func partitionReplacedVoter(w *simulation) {
	predecessor := w.newestProcess("n1")
	successor := w.spawnReplacement("n1", 0)
	w.run(w.now + 3*time.Second)
	w.partition("n0", "n3")
	successor.side, predecessor.side = 1, 0
	w.propose(w.newestProcess("n3"), serviceProposal("late"), 5*time.Second)
	w.run(w.now + 12*time.Second)
}

// links lets only the pairs through, written as "03": n0 with n3.
func (w *simulation) allowOnlyLinks(pairs ...string) {
	w.blocked = func(from, to string) bool {
		return !slices.Contains(pairs, from[1:]+to[1:]) && !slices.Contains(pairs, to[1:]+from[1:])
	}
}

// restartsBetweenAnswers: of the voters n0 to n4, n0 and n1 hold a change and
// say so to the proposer n5. n1 is replaced; n0, n3 and n4 register the
// successor, and n6 passes a confirmation on to it that rests on n2, n3 and n4,
// which lack the change. Only then n2 gets the change and says so to n5, without
// having heard of the successor.
func replaceVoterBetweenRounds(w *simulation) {
	w.store.watchLag = time.Hour
	w.allowOnlyLinks("05", "15")
	w.propose(w.newestProcess("n5"), serviceProposal("late"), 20*time.Second)
	for head := len(w.store.changes); len(w.store.changes) == head; {
		w.run(w.now + time.Millisecond)
	}
	w.store.down, w.failFetches = true, true
	w.run(w.now + 500*time.Millisecond)
	w.newestProcess("n1").dead = true
	w.spawnReplacement("n1", 0)
	w.allowOnlyLinks("13", "14", "16", "26", "36", "46")
	w.failFetches = false
	w.run(w.now + time.Second)
	w.failFetches = true
	w.allowOnlyLinks("01", "13", "14", "16", "26", "36", "46")
	w.run(w.now + 4*time.Second)
	w.failFetches = false
	w.allowOnlyLinks("25", "13", "14", "34", "16", "36", "46")
	w.run(w.now + 14*time.Second)
}

// addsVotersBehindACut: n2 adds n3 and n4 to the voters n0, n1 and n2, while n0
// and n1 are cut off, but for a moment in which n0 registers the new voters.
func addVotersDuringPartition(w *simulation) {
	w.partition("n2", "n3", "n4")
	w.run(w.now + 3*time.Second)
	for _, name := range []string{"n3", "n4"} {
		w.propose(w.newestProcess("n2"), addVoterProposal(name), 2*time.Second)
		w.run(w.now + 3*time.Second)
	}
	w.newestProcess("n0").side = 1
	w.allowOnlyLinks("03", "04", "23", "24", "34")
	w.failFetches = true
	w.run(w.now + 3*time.Second)
	w.blocked, w.failFetches = nil, false
	w.newestProcess("n0").side = 0
	w.propose(w.newestProcess("n2"), serviceProposal("late"), 2*time.Second)
	w.run(w.now + 12*time.Second)
}

// run returns the violations of a schedule with some mechanism left out.
func (m mechanismCase) run(seed uint64, disabled disabledMechanisms) []string {
	if m.script == nil {
		return runSchedule(randomSchedule(seed, m.kinds, disabled)).violations
	}
	w := newSimulation(seed, m.voters, false)
	w.disable(disabled)
	m.script(w)
	return w.violations
}

func randomSchedule(seed uint64, kinds []string, disabled disabledMechanisms) schedule {
	random := rand.New(rand.NewPCG(seed, 3))
	s := schedule{seed: seed, voters: []int{3, 5}[random.IntN(2)], relays: random.IntN(2) == 0, disabled: disabled}
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

// maximumSearch bounds the schedules tried until a missing mechanism shows.
const maxSeeds = 100

// TestEachMechanismIsNeeded leaves one mechanism out at a time: some schedule
// must show a violation, and none with the mechanism in place.
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
				t.Logf("seed %d, left out: %v", seed, violations)
				if baseline := m.run(seed, disabledMechanisms{}); len(baseline) > 0 {
					t.Fatalf("seed %d, nothing left out: %v", seed, baseline)
				}
				return
			}
			t.Fatalf("leaving it out went unnoticed in %d schedules", maxSeeds)
		})
	}
}
