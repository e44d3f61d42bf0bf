package dissemination

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// mechanism is one that can be left out, with a search for a schedule in which
// that is noticed.
type mechanism struct {
	name   string
	omit   omissions
	script func(w *world) // directed schedule with a number of voters, or
	voters int
	kinds  []string // faults of random schedules
	from   uint64   // first seed to be tried
}

var mechanisms = []mechanism{
	{name: "majority", omit: omissions{majority: true}, kinds: faultKinds, from: 17},
	{name: "send time", omit: omissions{sendTime: true}, kinds: []string{"loss", "cut", "freeze", "outage"}, from: 18},
	{name: "read back", omit: omissions{readBack: true}, kinds: []string{"lost replies", "outage"}},
	{name: "monotonic", omit: omissions{monotonic: true}, script: fetchesLate, voters: 3},
	{name: "recovery", omit: omissions{recovery: true}, script: forgetsAndMeetsOnlyLaggards, voters: 3},
	{name: "registration", omit: omissions{registration: true}, script: replacedBehindACut, voters: 3},
	{name: "supersession", omit: omissions{supersession: true}, script: predecessorRunsOn, voters: 3},
	{name: "second round", omit: omissions{secondRound: true}, script: restartsBetweenAnswers, voters: 5},
	{name: "stale write", omit: omissions{staleWrite: true}, kinds: []string{"burst", "replace", "freeze", "cut"}, from: 43},
	{name: "voter guard", omit: omissions{voterGuard: true}, script: addsVotersBehindACut, voters: 3},
}

// cutAt puts the named processes and the store on one side of a cut and
// everything else on the other.
func (w *world) cutAt(names ...string) {
	w.cut, w.store.side = true, 1
	for _, p := range w.processes {
		p.side = 0
		if slices.Contains(names, p.member.Name) {
			p.side = 1
		}
	}
}

func (w *world) respawn(name string, side int) *process {
	old := w.newest(name)
	return w.spawn(name, old.member.Zone, old.core.Incarnation()+1, side)
}

// fetchesLate: n6 gets a checkpoint that it fetched before a change.
func fetchesLate(w *world) {
	p := w.newest("n6")
	old := FetchResponse{Checkpoint: p.core.Catalog()}
	w.propose(w.newest("n3"), serviceProposal("late"), 2*time.Second)
	w.run(w.now + 2*time.Second)
	p.do(func() { p.core.StepFetched(p.local(), &old) })
}

// forgetsAndMeetsOnlyLaggards: n0 and n1 accept a change that n2 misses; then
// n1 is replaced and meets only n2.
func forgetsAndMeetsOnlyLaggards(w *world) {
	w.cutAt("n0", "n1", "n3")
	w.run(w.now + 3*time.Second)
	w.propose(w.newest("n3"), serviceProposal("late"), 2*time.Second)
	w.run(w.now + time.Second)
	w.newest("n1").dead = true
	w.respawn("n1", 0)
	w.run(w.now + 10*time.Second)
}

// replacedBehindACut: n1 is replaced on the side of the store, while its
// predecessor runs on at the other, with n2.
func replacedBehindACut(w *world) {
	w.cutAt("n0", "n3")
	w.run(w.now + 3*time.Second)
	w.respawn("n1", 1)
	w.run(w.now + 5*time.Second)
	w.propose(w.newest("n3"), serviceProposal("late"), 5*time.Second)
	w.run(w.now + 12*time.Second)
}

// predecessorRunsOn: n1 is replaced while all are connected; then a cut leaves
// the predecessor with n2, and the successor with n0.
func predecessorRunsOn(w *world) {
	predecessor := w.newest("n1")
	successor := w.respawn("n1", 0)
	w.run(w.now + 3*time.Second)
	w.cutAt("n0", "n3")
	successor.side, predecessor.side = 1, 0
	w.propose(w.newest("n3"), serviceProposal("late"), 5*time.Second)
	w.run(w.now + 12*time.Second)
}

// links lets only the pairs through, written as "03": n0 with n3.
func (w *world) links(pairs ...string) {
	w.blocked = func(from, to string) bool {
		return !slices.Contains(pairs, from[1:]+to[1:]) && !slices.Contains(pairs, to[1:]+from[1:])
	}
}

// restartsBetweenAnswers: of the voters n0 to n4, n0 and n1 hold a change and
// say so to the proposer n5. n1 is replaced; n0, n3 and n4 register the
// successor, and n6 passes a confirmation on to it that rests on n2, n3 and n4,
// which lack the change. Only then n2 gets the change and says so to n5, without
// having heard of the successor.
func restartsBetweenAnswers(w *world) {
	w.store.watchLag = time.Hour
	w.links("05", "15")
	w.propose(w.newest("n5"), serviceProposal("late"), 20*time.Second)
	for head := len(w.store.changes); len(w.store.changes) == head; {
		w.run(w.now + time.Millisecond)
	}
	w.store.down, w.noFetches = true, true
	w.run(w.now + 500*time.Millisecond)
	w.newest("n1").dead = true
	w.respawn("n1", 0)
	w.links("13", "14", "16", "26", "36", "46")
	w.noFetches = false
	w.run(w.now + time.Second)
	w.noFetches = true
	w.links("01", "13", "14", "16", "26", "36", "46")
	w.run(w.now + 4*time.Second)
	w.noFetches = false
	w.links("25", "13", "14", "34", "16", "36", "46")
	w.run(w.now + 14*time.Second)
}

// addsVotersBehindACut: n2 adds n3 and n4 to the voters n0, n1 and n2, while n0
// and n1 are cut off, but for a moment in which n0 registers the new voters.
func addsVotersBehindACut(w *world) {
	w.cutAt("n2", "n3", "n4")
	w.run(w.now + 3*time.Second)
	for _, name := range []string{"n3", "n4"} {
		w.propose(w.newest("n2"), addVoterProposal(name), 2*time.Second)
		w.run(w.now + 3*time.Second)
	}
	w.newest("n0").side = 1
	w.links("03", "04", "23", "24", "34")
	w.noFetches = true
	w.run(w.now + 3*time.Second)
	w.blocked, w.noFetches = nil, false
	w.newest("n0").side = 0
	w.propose(w.newest("n2"), serviceProposal("late"), 2*time.Second)
	w.run(w.now + 12*time.Second)
}

// run returns the violations of a schedule with some mechanism left out.
func (m mechanism) run(seed uint64, omit omissions) []string {
	if m.script == nil {
		return runSchedule(randomSchedule(seed, m.kinds, omit)).violations
	}
	w := newWorld(seed, m.voters, false)
	w.leaveOut(omit)
	m.script(w)
	return w.violations
}

func randomSchedule(seed uint64, kinds []string, omit omissions) schedule {
	random := rand.New(rand.NewPCG(seed, 3))
	s := schedule{seed: seed, voters: []int{3, 5}[random.IntN(2)], relays: random.IntN(2) == 0, omit: omit}
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
const maximumSearch = 100

// TestEachMechanismIsNeeded leaves one mechanism out at a time: some schedule
// must show a violation, and none with the mechanism in place.
func TestEachMechanismIsNeeded(t *testing.T) {
	t.Parallel()
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := m.from; seed < m.from+maximumSearch; seed++ {
				missed := m.run(seed, m.omit)
				if len(missed) == 0 {
					continue
				}
				t.Logf("seed %d, left out: %v", seed, missed)
				if kept := m.run(seed, omissions{}); len(kept) > 0 {
					t.Fatalf("seed %d, nothing left out: %v", seed, kept)
				}
				return
			}
			t.Fatalf("leaving it out went unnoticed in %d schedules", maximumSearch)
		})
	}
}
