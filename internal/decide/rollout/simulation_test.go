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
	// loadTimeConstant is the averaging time of the target's share of requests.
	loadTimeConstant = 250 * time.Millisecond
)

var testBounds = Bounds{Ratio: 0.1, Slack: 50}

// leafModel returns how long an attempt at a leaf takes, and whether it fails. Load is the target's
// share of the most recent requests.
type leafModel func(random *rand.Rand, now time.Duration, leaf int, load float64) (took time.Duration, failed bool)

// normalLeaf takes a log-normal time with a median of 120 ms, has a pause in 4 % of the attempts,
// and fails one attempt in 200.
func normalLeaf(random *rand.Rand, _ time.Duration, _ int, _ float64) (time.Duration, bool) {
	took := 120 * math.Exp(0.45*random.NormFloat64())
	if random.Float64() < 0.04 {
		took += 150 * random.Float64()
	}
	return time.Duration(took * float64(time.Millisecond)), random.Float64() < 0.005
}

// failingLeaf fails an additional share of the attempts.
func failingLeaf(share float64) leafModel {
	return func(random *rand.Rand, now time.Duration, leaf int, load float64) (time.Duration, bool) {
		took, failed := normalLeaf(random, now, leaf, load)
		return took, failed || random.Float64() < share
	}
}

// slowLeaf multiplies the duration of a share of the attempts.
func slowLeaf(factor, share float64) leafModel {
	return func(random *rand.Rand, now time.Duration, leaf int, load float64) (time.Duration, bool) {
		took, failed := normalLeaf(random, now, leaf, load)
		if random.Float64() < share {
			took = time.Duration(factor * float64(took))
		}
		return took, failed
	}
}

// conditionalLeaf applies a model where a condition holds, and normalLeaf otherwise.
func conditionalLeaf(condition func(now time.Duration, leaf int, load float64) bool, model leafModel) leafModel {
	return func(random *rand.Rand, now time.Duration, leaf int, load float64) (time.Duration, bool) {
		if condition(now, leaf, load) {
			return model(random, now, leaf, load)
		}
		return normalLeaf(random, now, leaf, load)
	}
}

// simulation is one rollout over several nodes, in virtual time.
type simulation struct {
	nodes    int
	leaves   int
	rate     float64 // requests per second of all nodes
	duration time.Duration
	target   leafModel
	control  leafModel
	// hedged sends a second attempt to a random leaf of the control after hedgeAfter.
	hedged bool
}

// hedgeAfter is about the 0.9 quantile of normalLeaf.
const hedgeAfter = 200 * time.Millisecond

// simulationResult is the outcome of a simulation.
type simulationResult struct {
	phase Phase
	// exposed is the number of requests that went to the target before the deadline, of all.
	exposed, all int
	// allowed is the number of requests that may go to the target.
	allowed int
}

// simulatedNode is one node of a simulation.
type simulatedNode struct {
	name      string
	table     *Table
	counter   *Counter
	allowance *Allowance
	burst     bool
}

func (s simulation) run(seed uint64) simulationResult {
	random := rand.New(rand.NewPCG(seed, 1))
	order := Order{Service: testService, Version: "v2", Duration: s.duration, Written: testPosition(1)}
	nodes := make([]*simulatedNode, s.nodes)
	for index := range nodes {
		node := &simulatedNode{name: fmt.Sprint(index), table: NewTable(), counter: NewCounter()}
		node.table.Replace(0, time.Time{}, Listing{})
		node.table.SetOrder(0, order)
		node.allowance = NewAllowance(testBounds, 1/float64(s.nodes), s.duration, random.Float64)
		nodes[index] = node
	}
	decider := NewDecider(nodes[0].table, "d")
	var result simulationResult
	recent, recentTarget := 0.0, 0.0
	nextReport := time.Duration(0)
	revision := uint64(1)
	for now := time.Duration(0); now < s.duration+10*time.Second; now += simulationStep {
		recent *= 1 - simulationStep.Seconds()/loadTimeConstant.Seconds()
		recentTarget *= 1 - simulationStep.Seconds()/loadTimeConstant.Seconds()
		for range poisson(random, s.rate*simulationStep.Seconds()) {
			node := nodes[random.IntN(len(nodes))]
			toTarget := node.send(random, now, s, recentTarget/max(recent, 1))
			recent++
			if now < s.duration {
				result.all++
			}
			if toTarget {
				recentTarget++
				if now < s.duration {
					result.exposed++
				}
			}
		}
		if now < nextReport {
			continue
		}
		nextReport = now + Interval(s.nodes)
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
func (n *simulatedNode) send(random *rand.Rand, now time.Duration, s simulation, load float64) bool {
	rollout := n.table.Lookup(testService)
	n.allowance.Earn(now)
	toTarget := rollout.Phase().Shifted()
	if !toTarget && n.allowance.Allows(now) {
		n.allowance.Spend()
		toTarget = true
	}
	leaf := random.IntN(s.leaves)
	subject := newSubject(toTarget, leaf)
	model := s.control
	if toTarget {
		model = s.target
	}
	took, failed := model(random, now, leaf, load)
	overtaken := time.Duration(0)
	if s.hedged && took > hedgeAfter {
		other := random.IntN(s.leaves)
		if second, lost := s.control(random, now, other, load); !lost {
			n.counter.CountDuration(newSubject(false, other), min(second, took-hedgeAfter))
			if hedgeAfter+second < took {
				overtaken, failed = hedgeAfter+second, false
			}
			took = min(took, hedgeAfter+second)
		}
	}
	if failed {
		n.counter.CountFailure(subject)
	} else {
		n.counter.CountDuration(subject, took)
	}
	n.counter.CountFirst(subject, overtaken)
	return toTarget
}

// newSubject returns the subject of a leaf of the target or the control.
func newSubject(target bool, leaf int) Subject {
	name := fmt.Sprint(leaf)
	if !target {
		name = fmt.Sprint("other-", leaf)
	}
	return Subject{Service: testService, Order: 1, Route: testRoute, Target: target, Zone: fmt.Sprint("zone-", leaf%3), Leaf: name}
}

// report reports to the decider and applies the reply.
func (n *simulatedNode) report(now time.Duration, decider *Decider) {
	rollout := n.table.Lookup(testService)
	reply := decider.Report(now, Report{Node: n.name, Rows: n.counter.ChangedRows(nil), Orders: []Progress{
		{Service: testService, Order: 1, Phase: rollout.Phase(), Age: rollout.Age(now)},
	}})
	for _, grant := range reply.Grants {
		n.table.Merge(now, grant)
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

// verdictTest is a target compared to a control, and how often the target may be rolled back.
type verdictTest struct {
	name            string
	target, control leafModel
	// minRolledBack and maxRolledBack bound the share of simulations with a rollback.
	minRolledBack, maxRolledBack float64
}

// simulatedRates are requests per second at the service: at a shard of a small deployment, and in a
// test with three nodes.
var simulatedRates = []float64{48, 75}

// TestVerdictErrorRates simulates rollouts with fixed seeds. It checks how often versions are
// rolled back, and how often a bad version exceeded its allowance.
func TestVerdictErrorRates(t *testing.T) {
	afterStart := func(now time.Duration, _ int, _ float64) bool { return now > 5*time.Second }
	underLoad := func(_ time.Duration, _ int, load float64) bool { return load > 0.4 }
	lastLeaf := func(_ time.Duration, leaf int, _ float64) bool { return leaf == 2 }
	unresponsiveControl := conditionalLeaf(lastLeaf, slowLeaf(20, 1))
	for _, test := range []verdictTest{
		{"good", normalLeaf, normalLeaf, 0, 0.02},
		{"good, control fails as often", failingLeaf(0.1), failingLeaf(0.1), 0, 0.02},
		{"good, with a leaf that fails four in ten", conditionalLeaf(lastLeaf, failingLeaf(0.4)), normalLeaf, 0, 0.1},
		{"good, with a leaf that fails all", conditionalLeaf(lastLeaf, failingLeaf(1)), normalLeaf, 0, 0.1},
		{"good, with a slow leaf", conditionalLeaf(lastLeaf, slowLeaf(7, 1)), normalLeaf, 0, 0.1},
		{"good, and 1.3 times slower", slowLeaf(1.3, 1), normalLeaf, 0, 0.1},
		{"fails three in ten, as the control does", failingLeaf(0.3), failingLeaf(0.3), 0.8, 1},
		{"fails one in ten", failingLeaf(0.1), normalLeaf, 0.8, 1},
		{"fails three in ten", failingLeaf(0.3), normalLeaf, 1, 1},
		{"fails all", failingLeaf(1), normalLeaf, 1, 1},
		{"four times slower", slowLeaf(4, 1), normalLeaf, 1, 1},
		{"four times slower for three in ten", slowLeaf(4, 0.3), normalLeaf, 0.8, 1},
		{"fails three in ten later", conditionalLeaf(afterStart, failingLeaf(0.3)), normalLeaf, 0.98, 1},
		{"fails three in ten under load", conditionalLeaf(underLoad, failingLeaf(0.3)), normalLeaf, 0.98, 1},
		{"four times slower under load", conditionalLeaf(underLoad, slowLeaf(4, 1)), normalLeaf, 0.98, 1},
		{"good, unresponsive leaf in the control", normalLeaf, unresponsiveControl, 0, 0.02},
		{"four times slower, unresponsive leaf in the control", slowLeaf(4, 1), unresponsiveControl, 0.98, 1},
	} {
		for _, rate := range simulatedRates {
			test.check(t, rate, false)
		}
	}
}

// TestVerdictErrorRatesWithHedging simulates rollouts with fixed seeds in which hedges answer slow
// attempts, so that a slow version shows only in its overtaken attempts.
func TestVerdictErrorRatesWithHedging(t *testing.T) {
	underLoad := func(_ time.Duration, _ int, load float64) bool { return load > 0.4 }
	lastLeaf := func(_ time.Duration, leaf int, _ float64) bool { return leaf == 2 }
	unresponsiveControl := conditionalLeaf(lastLeaf, slowLeaf(20, 1))
	for _, test := range []verdictTest{
		{"good", normalLeaf, normalLeaf, 0, 0.02},
		{"good, with a slow leaf", conditionalLeaf(lastLeaf, slowLeaf(7, 1)), normalLeaf, 0, 0.1},
		{"good, and 1.3 times slower", slowLeaf(1.3, 1), normalLeaf, 0, 0.1},
		{"good, unresponsive leaf in the control", normalLeaf, unresponsiveControl, 0, 0.02},
		{"four times slower", slowLeaf(4, 1), normalLeaf, 1, 1},
		{"four times slower for three in ten", slowLeaf(4, 0.3), normalLeaf, 0.8, 1},
		{"four times slower under load", conditionalLeaf(underLoad, slowLeaf(4, 1)), normalLeaf, 0.98, 1},
		{"four times slower, unresponsive leaf in the control", slowLeaf(4, 1), unresponsiveControl, 0.98, 1},
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
	t.Logf("%s, %.0f requests a second, hedged %v: rolled back in %d of %d simulations, over the allowance in %d, %d requests exposed", test.name, rate, hedged, rolledBack, simulationRuns, overAllowance, exposed/simulationRuns)
	if share := float64(rolledBack) / simulationRuns; share < test.minRolledBack || share > test.maxRolledBack {
		t.Errorf("%s, %.0f requests a second, hedged %v: rolled back in %d of %d simulations, want a share of %v to %v", test.name, rate, hedged, rolledBack, simulationRuns, test.minRolledBack, test.maxRolledBack)
	}
	if overAllowance > simulationRuns/25 {
		t.Errorf("%s, %.0f requests a second, hedged %v: over the allowance in %d of %d simulations, want at most %d", test.name, rate, hedged, overAllowance, simulationRuns, simulationRuns/25)
	}
}
