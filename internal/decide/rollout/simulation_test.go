package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testService    = "desk"
	testRoute      = "lookup"
	simulationStep = 50 * time.Millisecond
	// loadMemory is the time over which the load of the target is taken.
	loadTimeConstant = 250 * time.Millisecond
)

var testBounds = Bounds{Ratio: 0.1, Slack: 50}

// behaviour is what an attempt at a leaf comes to: how long it takes, and whether
// it fails. Load is the share of the
// newest requests that went to the target.
type leafModel func(random *rand.Rand, now time.Duration, leaf int, load float64) (took time.Duration, failed bool)

// usual takes 120 ms as a rule, with a spread of half of that, a pause now and then,
// and fails one in 200.
func normalLeaf(random *rand.Rand, _ time.Duration, _ int, _ float64) (time.Duration, bool) {
	took := 120 * math.Exp(0.45*random.NormFloat64())
	if random.Float64() < 0.04 {
		took += 150 * random.Float64()
	}
	return time.Duration(took * float64(time.Millisecond)), random.Float64() < 0.005
}

// failing adds failures to the usual.
func failingLeaf(share float64) leafModel {
	return func(random *rand.Rand, now time.Duration, leaf int, load float64) (time.Duration, bool) {
		took, failed := normalLeaf(random, now, leaf, load)
		return took, failed || random.Float64() < share
	}
}

// slower takes some times as long as usual for a share of the attempts.
func slowLeaf(times, share float64) leafModel {
	return func(random *rand.Rand, now time.Duration, leaf int, load float64) (time.Duration, bool) {
		took, failed := normalLeaf(random, now, leaf, load)
		if random.Float64() < share {
			took = time.Duration(times * float64(took))
		}
		return took, failed
	}
}

// when switches a behaviour on where a condition holds.
func conditionalLeaf(condition func(now time.Duration, leaf int, load float64) bool, model leafModel) leafModel {
	return func(random *rand.Rand, now time.Duration, leaf int, load float64) (time.Duration, bool) {
		if condition(now, leaf, load) {
			return model(random, now, leaf, load)
		}
		return normalLeaf(random, now, leaf, load)
	}
}

// play is one roll-out over some nodes, in virtual time.
type simulation struct {
	nodes    int
	leaves   int
	rate     float64 // requests a second of all nodes
	duration time.Duration
	target   leafModel
	control  leafModel
	// hedged lets a second attempt go to another leaf of the control after hedgeAfter.
	hedged bool
}

// hedgeAfter is about the 0.9 quantile of what is usual.
const hedgeAfter = 200 * time.Millisecond

// result is how a play ended.
type simulationResult struct {
	phase Phase
	// exposed is what the target got up to the deadline, of all requests.
	exposed, all int
	// allowed is what it may get of those.
	allowed int
}

// virtualNode is one node of a play.
type simulatedNode struct {
	name      string
	table     *Table
	counter   *Counter
	allowance *Allowance
	burst     bool
}

func (p simulation) run(seed uint64) simulationResult {
	random := rand.New(rand.NewPCG(seed, 1))
	order := Order{Service: testService, Version: "v2", Duration: p.duration, Revision: 1}
	nodes := make([]*simulatedNode, p.nodes)
	for index := range nodes {
		node := &simulatedNode{name: fmt.Sprint(index), table: NewTable(), counter: NewCounter()}
		node.table.Replace(0, time.Time{}, nil, nil, false)
		node.table.SetOrder(0, order)
		node.allowance = NewAllowance(testBounds, 1/float64(p.nodes), p.duration, random.Float64)
		nodes[index] = node
	}
	decider := NewDecider(nodes[0].table, "d")
	var result simulationResult
	recent, recentTarget := 0.0, 0.0
	nextReport := time.Duration(0)
	revision := uint64(1)
	for now := time.Duration(0); now < p.duration+10*time.Second; now += simulationStep {
		recent *= 1 - simulationStep.Seconds()/loadTimeConstant.Seconds()
		recentTarget *= 1 - simulationStep.Seconds()/loadTimeConstant.Seconds()
		for range poisson(random, p.rate*simulationStep.Seconds()) {
			node := nodes[random.IntN(len(nodes))]
			toTarget := node.send(random, now, p, recentTarget/max(recent, 1))
			recent++
			if now < p.duration {
				result.all++
			}
			if toTarget {
				recentTarget++
				if now < p.duration {
					result.exposed++
				}
			}
		}
		if now < nextReport {
			continue
		}
		nextReport = now + Interval(p.nodes)
		for _, node := range nodes {
			node.report(now, decider)
		}
		supply := func(string) Supply { return Supply{Target: 6, Control: 6, Mixed: true} }
		for _, transition := range decider.Tick(now, time.Time{}.Add(now), supply) {
			revision++
			transition.Record.Revision = revision
			nodes[0].table.SetRecord(transition.Record)
			if transition.Record.Phase.Ended() {
				result.phase = transition.Record.Phase
				result.allowed = int(testBounds.Ratio*float64(result.all) + testBounds.Slack)
				return result
			}
		}
	}
	return result
}

// send sends one request, and reports whether it went to the target.
func (n *simulatedNode) send(random *rand.Rand, now time.Duration, p simulation, load float64) bool {
	rollout := n.table.Of(testService)
	n.allowance.Earn(now)
	toTarget := rollout.Phase().Shifted()
	if !toTarget && n.allowance.Allows(now) {
		n.allowance.Spend()
		toTarget = true
	}
	leaf := random.IntN(p.leaves)
	subject := newSubject(toTarget, leaf)
	model := p.control
	if toTarget {
		model = p.target
	}
	took, failed := model(random, now, leaf, load)
	overtaken := time.Duration(0)
	if p.hedged && took > hedgeAfter {
		other := random.IntN(p.leaves)
		if second, lost := p.control(random, now, other, load); !lost {
			n.counter.Took(newSubject(false, other), min(second, took-hedgeAfter))
			if hedgeAfter+second < took {
				overtaken, failed = hedgeAfter+second, false
			}
			took = min(took, hedgeAfter+second)
		}
	}
	if failed {
		n.counter.Failed(subject)
	} else {
		n.counter.Took(subject, took)
	}
	n.counter.First(subject, overtaken)
	return toTarget
}

// subjectOf is what counts of a leaf of the target, or of the control, are of.
func newSubject(target bool, leaf int) Subject {
	name := fmt.Sprint(leaf)
	if !target {
		name = fmt.Sprint("other-", leaf)
	}
	return Subject{Service: testService, Order: 1, Route: testRoute, Target: target, Zone: fmt.Sprint("zone-", leaf%3), Leaf: name}
}

// report reports to the decider and takes its word.
func (n *simulatedNode) report(now time.Duration, decider *Decider) {
	rollout := n.table.Of(testService)
	reply := decider.Report(now, Report{Node: n.name, Rows: n.counter.Changed(nil), Orders: []Progress{
		{Service: testService, Order: 1, Phase: rollout.Phase(), Age: rollout.Age(now)},
	}})
	for _, grant := range reply.Grants {
		n.table.Merge(now, grant.Service, grant.Order, grant.Age, grant.Record, grant.Bad)
		if grant.Open {
			n.allowance.Grant(now + GrantTTL)
		}
		if grant.Bad != "" {
			n.allowance.Grant(now)
		}
	}
	if rollout.Phase() == PhaseBurst && !n.burst {
		n.burst = true
		n.allowance.Burst()
	}
}

func poisson(random *rand.Rand, mean float64) int {
	count, limit, product := 0, math.Exp(-mean), random.Float64()
	for product > limit {
		count++
		product *= random.Float64()
	}
	return count
}

// trouble is a version, beside another one, and how often it may be taken back.
type verdictTest struct {
	name            string
	target, control leafModel
	// least and most bound the share of plays in which it is taken back.
	minRolledBack, maxRolledBack float64
}

// playRates are requests a second at the service: a shard of a small site, and
// three nodes of a test.
var simulatedRates = []float64{48, 75}

// TestErrorsOfVerdicts plays versions and counts how often they are taken back, and
// how often a bad one got more than is allowed. The seeds are fixed.
func TestVerdictErrorRates(t *testing.T) {
	afterStart := func(now time.Duration, _ int, _ float64) bool { return now > 5*time.Second }
	underLoad := func(_ time.Duration, _ int, load float64) bool { return load > 0.4 }
	lastLeaf := func(_ time.Duration, leaf int, _ float64) bool { return leaf == 2 }
	deafControl := conditionalLeaf(lastLeaf, slowLeaf(20, 1))
	for _, test := range []verdictTest{
		{"good", normalLeaf, normalLeaf, 0, 0.02},
		{"good, among failing ones", failingLeaf(0.1), failingLeaf(0.1), 0, 0.02},
		{"good, with a leaf that fails four in ten", conditionalLeaf(lastLeaf, failingLeaf(0.4)), normalLeaf, 0, 0.1},
		{"good, with a dark leaf", conditionalLeaf(lastLeaf, failingLeaf(1)), normalLeaf, 0, 0.1},
		{"good, with a slow leaf", conditionalLeaf(lastLeaf, slowLeaf(7, 1)), normalLeaf, 0, 0.1},
		{"good, and 1.3 times slower", slowLeaf(1.3, 1), normalLeaf, 0, 0.1},
		{"fails three in ten, as the others do", failingLeaf(0.3), failingLeaf(0.3), 0.8, 1},
		{"fails one in ten", failingLeaf(0.1), normalLeaf, 0.8, 1},
		{"fails three in ten", failingLeaf(0.3), normalLeaf, 1, 1},
		{"fails all", failingLeaf(1), normalLeaf, 1, 1},
		{"four times slower", slowLeaf(4, 1), normalLeaf, 1, 1},
		{"four times slower for three in ten", slowLeaf(4, 0.3), normalLeaf, 0.8, 1},
		{"fails three in ten later", conditionalLeaf(afterStart, failingLeaf(0.3)), normalLeaf, 0.98, 1},
		{"fails three in ten under load", conditionalLeaf(underLoad, failingLeaf(0.3)), normalLeaf, 0.98, 1},
		{"four times slower under load", conditionalLeaf(underLoad, slowLeaf(4, 1)), normalLeaf, 0.98, 1},
		{"good, beside a deaf leaf of the others", normalLeaf, deafControl, 0, 0.02},
		{"four times slower, beside a deaf leaf of the others", slowLeaf(4, 1), deafControl, 0.98, 1},
	} {
		for _, rate := range simulatedRates {
			test.check(t, rate, false)
		}
	}
}

// TestErrorsOfVerdictsBesideHedges plays versions of which a hedge answers what takes long,
// so that a slow one shows by what overtakes it. The seeds are fixed.
func TestVerdictErrorRatesWithHedging(t *testing.T) {
	underLoad := func(_ time.Duration, _ int, load float64) bool { return load > 0.4 }
	lastLeaf := func(_ time.Duration, leaf int, _ float64) bool { return leaf == 2 }
	deafControl := conditionalLeaf(lastLeaf, slowLeaf(20, 1))
	for _, test := range []verdictTest{
		{"good", normalLeaf, normalLeaf, 0, 0.02},
		{"good, with a slow leaf", conditionalLeaf(lastLeaf, slowLeaf(7, 1)), normalLeaf, 0, 0.1},
		{"good, and 1.3 times slower", slowLeaf(1.3, 1), normalLeaf, 0, 0.1},
		{"good, beside a deaf leaf of the others", normalLeaf, deafControl, 0, 0.02},
		{"four times slower", slowLeaf(4, 1), normalLeaf, 1, 1},
		{"four times slower for three in ten", slowLeaf(4, 0.3), normalLeaf, 0.8, 1},
		{"four times slower under load", conditionalLeaf(underLoad, slowLeaf(4, 1)), normalLeaf, 0.98, 1},
		{"four times slower, beside a deaf leaf of the others", slowLeaf(4, 1), deafControl, 0.98, 1},
	} {
		for _, rate := range simulatedRates {
			test.check(t, rate, true)
		}
	}
}

const simulationRuns = 100

func (test verdictTest) check(t *testing.T, rate float64, hedged bool) {
	t.Helper()
	rolledBack, overAllowance, exposed := 0, 0, 0
	for seed := range simulationRuns {
		result := simulation{nodes: 12, leaves: 3, rate: rate, duration: 15 * time.Second, target: test.target, control: test.control, hedged: hedged}.run(uint64(seed))
		exposed += result.exposed
		if result.phase != PhaseRolledBack {
			continue
		}
		rolledBack++
		if result.exposed > result.allowed {
			overAllowance++
		}
	}
	t.Logf("%s, %.0f requests a second, hedged %v: taken back in %d of %d plays, over in %d, %d requests exposed", test.name, rate, hedged, rolledBack, simulationRuns, overAllowance, exposed/simulationRuns)
	if share := float64(rolledBack) / simulationRuns; share < test.minRolledBack || share > test.maxRolledBack {
		t.Errorf("%s, %.0f requests a second, hedged %v: taken back in %d of %d plays", test.name, rate, hedged, rolledBack, simulationRuns)
	}
	if overAllowance > simulationRuns/25 {
		t.Errorf("%s, %.0f requests a second, hedged %v: over the allowance in %d of %d plays", test.name, rate, hedged, overAllowance, simulationRuns)
	}
}
