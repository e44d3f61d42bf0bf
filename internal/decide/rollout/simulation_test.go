package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	playService = "desk"
	playRoute   = "lookup"
	playStep    = 50 * time.Millisecond
	// loadMemory is the time over which the load of the target is taken.
	loadMemory = 250 * time.Millisecond
)

var playBounds = Bounds{Ratio: 0.1, Slack: 50}

// behaviour is what an attempt at a leaf comes to: how long it takes, and whether
// it fails. Load is the share of the
// newest requests that went to the target.
type behaviour func(random *rand.Rand, now time.Duration, leaf int, load float64) (took time.Duration, failed bool)

// usual takes 120 ms as a rule, with a spread of half of that, a pause now and then,
// and fails one in 200.
func usual(random *rand.Rand, _ time.Duration, _ int, _ float64) (time.Duration, bool) {
	took := 120 * math.Exp(0.45*random.NormFloat64())
	if random.Float64() < 0.04 {
		took += 150 * random.Float64()
	}
	return time.Duration(took * float64(time.Millisecond)), random.Float64() < 0.005
}

// failing adds failures to the usual.
func failing(share float64) behaviour {
	return func(random *rand.Rand, now time.Duration, leaf int, load float64) (time.Duration, bool) {
		took, failed := usual(random, now, leaf, load)
		return took, failed || random.Float64() < share
	}
}

// slower takes some times as long as usual for a share of the attempts.
func slower(times, share float64) behaviour {
	return func(random *rand.Rand, now time.Duration, leaf int, load float64) (time.Duration, bool) {
		took, failed := usual(random, now, leaf, load)
		if random.Float64() < share {
			took = time.Duration(times * float64(took))
		}
		return took, failed
	}
}

// when switches a behaviour on where a condition holds.
func when(holds func(now time.Duration, leaf int, load float64) bool, bad behaviour) behaviour {
	return func(random *rand.Rand, now time.Duration, leaf int, load float64) (time.Duration, bool) {
		if holds(now, leaf, load) {
			return bad(random, now, leaf, load)
		}
		return usual(random, now, leaf, load)
	}
}

// play is one roll-out over some nodes, in virtual time.
type play struct {
	nodes    int
	leaves   int
	rate     float64 // requests a second of all nodes
	duration time.Duration
	target   behaviour
	control  behaviour
	// hedged lets a second attempt go to another leaf of the control after hedgeAfter.
	hedged bool
}

// hedgeAfter is about the 0.9 quantile of what is usual.
const hedgeAfter = 200 * time.Millisecond

// result is how a play ended.
type result struct {
	phase Phase
	// exposed is what the target got up to the deadline, of all requests.
	exposed, all int
	// allowed is what it may get of those.
	allowed int
}

// virtualNode is one node of a play.
type virtualNode struct {
	name      string
	table     *Table
	counter   *Counter
	allowance *Allowance
	burst     bool
}

func (p play) run(seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 1))
	order := Order{Service: playService, Version: "v2", Duration: p.duration, Revision: 1}
	nodes := make([]*virtualNode, p.nodes)
	for index := range nodes {
		node := &virtualNode{name: fmt.Sprint(index), table: NewTable(), counter: NewCounter()}
		node.table.Replace(0, time.Time{}, nil, nil, false)
		node.table.SetOrder(0, order)
		node.allowance = NewAllowance(playBounds, 1/float64(p.nodes), p.duration, random.Float64)
		nodes[index] = node
	}
	decider := NewDecider(nodes[0].table, "d")
	var ended result
	recent, recentTarget := 0.0, 0.0
	nextReport := time.Duration(0)
	revision := uint64(1)
	for now := time.Duration(0); now < p.duration+10*time.Second; now += playStep {
		recent *= 1 - playStep.Seconds()/loadMemory.Seconds()
		recentTarget *= 1 - playStep.Seconds()/loadMemory.Seconds()
		for range poisson(random, p.rate*playStep.Seconds()) {
			node := nodes[random.IntN(len(nodes))]
			toTarget := node.send(random, now, p, recentTarget/max(recent, 1))
			recent++
			if now < p.duration {
				ended.all++
			}
			if toTarget {
				recentTarget++
				if now < p.duration {
					ended.exposed++
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
		for _, step := range decider.Tick(now, time.Time{}.Add(now), supply) {
			revision++
			step.Record.Revision = revision
			nodes[0].table.SetRecord(step.Record)
			if step.Record.Phase.Ended() {
				ended.phase = step.Record.Phase
				ended.allowed = int(playBounds.Ratio*float64(ended.all) + playBounds.Slack)
				return ended
			}
		}
	}
	return ended
}

// send sends one request, and reports whether it went to the target.
func (n *virtualNode) send(random *rand.Rand, now time.Duration, p play, load float64) bool {
	known := n.table.Of(playService)
	n.allowance.Earn(now)
	toTarget := known.Phase().Shifted()
	if !toTarget && n.allowance.Allows(now) {
		n.allowance.Spend()
		toTarget = true
	}
	leaf := random.IntN(p.leaves)
	subject := subjectOf(toTarget, leaf)
	play := p.control
	if toTarget {
		play = p.target
	}
	took, failed := play(random, now, leaf, load)
	overtaken := time.Duration(0)
	if p.hedged && took > hedgeAfter {
		other := random.IntN(p.leaves)
		if second, lost := p.control(random, now, other, load); !lost {
			n.counter.Took(subjectOf(false, other), min(second, took-hedgeAfter))
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
func subjectOf(target bool, leaf int) Subject {
	name := fmt.Sprint(leaf)
	if !target {
		name = fmt.Sprint("other-", leaf)
	}
	return Subject{Service: playService, Order: 1, Route: playRoute, Target: target, Zone: fmt.Sprint("zone-", leaf%3), Leaf: name}
}

// report reports to the decider and takes its word.
func (n *virtualNode) report(now time.Duration, decider *Decider) {
	known := n.table.Of(playService)
	reply := decider.Report(now, Report{Node: n.name, Rows: n.counter.Changed(nil), Orders: []Progress{
		{Service: playService, Order: 1, Phase: known.Phase(), Age: known.Age(now)},
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
	if known.Phase() == PhaseBurst && !n.burst {
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
type trouble struct {
	name            string
	target, control behaviour
	// least and most bound the share of plays in which it is taken back.
	least, most float64
}

// playRates are requests a second at the service: a shard of a small site, and
// three nodes of a test.
var playRates = []float64{48, 75}

// TestErrorsOfVerdicts plays versions and counts how often they are taken back, and
// how often a bad one got more than is allowed. The seeds are fixed.
func TestErrorsOfVerdicts(t *testing.T) {
	later := func(now time.Duration, _ int, _ float64) bool { return now > 5*time.Second }
	loaded := func(_ time.Duration, _ int, load float64) bool { return load > 0.4 }
	lastLeaf := func(_ time.Duration, leaf int, _ float64) bool { return leaf == 2 }
	deaf := when(lastLeaf, slower(20, 1))
	for _, one := range []trouble{
		{"good", usual, usual, 0, 0.02},
		{"good, among failing ones", failing(0.1), failing(0.1), 0, 0.02},
		{"good, with a leaf that fails four in ten", when(lastLeaf, failing(0.4)), usual, 0, 0.1},
		{"good, with a dark leaf", when(lastLeaf, failing(1)), usual, 0, 0.1},
		{"good, with a slow leaf", when(lastLeaf, slower(7, 1)), usual, 0, 0.1},
		{"good, and 1.3 times slower", slower(1.3, 1), usual, 0, 0.1},
		{"fails three in ten, as the others do", failing(0.3), failing(0.3), 0.8, 1},
		{"fails one in ten", failing(0.1), usual, 0.8, 1},
		{"fails three in ten", failing(0.3), usual, 1, 1},
		{"fails all", failing(1), usual, 1, 1},
		{"four times slower", slower(4, 1), usual, 1, 1},
		{"four times slower for three in ten", slower(4, 0.3), usual, 0.8, 1},
		{"fails three in ten later", when(later, failing(0.3)), usual, 0.98, 1},
		{"fails three in ten under load", when(loaded, failing(0.3)), usual, 0.98, 1},
		{"four times slower under load", when(loaded, slower(4, 1)), usual, 0.98, 1},
		{"good, beside a deaf leaf of the others", usual, deaf, 0, 0.02},
		{"four times slower, beside a deaf leaf of the others", slower(4, 1), deaf, 0.98, 1},
	} {
		for _, rate := range playRates {
			one.check(t, rate, false)
		}
	}
}

// TestErrorsOfVerdictsBesideHedges plays versions of which a hedge answers what takes long,
// so that a slow one shows by what overtakes it. The seeds are fixed.
func TestErrorsOfVerdictsBesideHedges(t *testing.T) {
	loaded := func(_ time.Duration, _ int, load float64) bool { return load > 0.4 }
	lastLeaf := func(_ time.Duration, leaf int, _ float64) bool { return leaf == 2 }
	deaf := when(lastLeaf, slower(20, 1))
	for _, one := range []trouble{
		{"good", usual, usual, 0, 0.02},
		{"good, with a slow leaf", when(lastLeaf, slower(7, 1)), usual, 0, 0.1},
		{"good, and 1.3 times slower", slower(1.3, 1), usual, 0, 0.1},
		{"good, beside a deaf leaf of the others", usual, deaf, 0, 0.02},
		{"four times slower", slower(4, 1), usual, 1, 1},
		{"four times slower for three in ten", slower(4, 0.3), usual, 0.8, 1},
		{"four times slower under load", when(loaded, slower(4, 1)), usual, 0.98, 1},
		{"four times slower, beside a deaf leaf of the others", slower(4, 1), deaf, 0.98, 1},
	} {
		for _, rate := range playRates {
			one.check(t, rate, true)
		}
	}
}

const plays = 100

func (one trouble) check(t *testing.T, rate float64, hedged bool) {
	t.Helper()
	back, over, exposed := 0, 0, 0
	for seed := range plays {
		ended := play{nodes: 12, leaves: 3, rate: rate, duration: 15 * time.Second, target: one.target, control: one.control, hedged: hedged}.run(uint64(seed))
		exposed += ended.exposed
		if ended.phase != PhaseRolledBack {
			continue
		}
		back++
		if ended.exposed > ended.allowed {
			over++
		}
	}
	t.Logf("%s, %.0f requests a second, hedged %v: taken back in %d of %d plays, over in %d, %d requests exposed", one.name, rate, hedged, back, plays, over, exposed/plays)
	if share := float64(back) / plays; share < one.least || share > one.most {
		t.Errorf("%s, %.0f requests a second, hedged %v: taken back in %d of %d plays", one.name, rate, hedged, back, plays)
	}
	if over > plays/25 {
		t.Errorf("%s, %.0f requests a second, hedged %v: over the allowance in %d of %d plays", one.name, rate, hedged, over, plays)
	}
}
