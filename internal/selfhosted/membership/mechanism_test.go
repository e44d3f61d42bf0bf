package membership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// falsePositiveTracker records, for each pair of observer and subject, how long the observer's view
// showed a running, reachable process as gone.
type falsePositiveTracker struct {
	count           int
	longestDuration time.Duration
	goneSince       map[[2]string]time.Duration
}

func trackFalsePositives(c *simulatedCluster) *falsePositiveTracker {
	f := &falsePositiveTracker{goneSince: make(map[[2]string]time.Duration)}
	running := func(m Member) bool {
		node := c.byAddress[m.Address]
		return node != nil && !node.crashed && !node.frozen && node.core.Self().Incarnation == m.Incarnation
	}
	c.onEvent = func(observer *simulatedNode, event Event) {
		if event.Kind != EventChanged {
			return
		}
		key := [2]string{observer.core.Self().Name, event.Member.Name}
		goneSince, seenGone := f.goneSince[key]
		switch {
		case event.Member.State == StateGone && running(event.Member):
			f.count++
			f.goneSince[key] = c.now
		case event.Member.State != StateGone && seenGone:
			f.longestDuration = max(f.longestDuration, c.now-goneSince)
			delete(f.goneSince, key)
		}
	}
	return f
}

func sumStatistics(c *simulatedCluster) Statistics {
	var sum Statistics
	for _, node := range c.nodes {
		s := node.core.Statistics()
		sum.Probes += s.Probes
		sum.ProbesFailed += s.ProbesFailed
		sum.SuspicionsRaised += s.SuspicionsRaised
		sum.DeclaredGone += s.DeclaredGone
		sum.SelfRefutations += s.SelfRefutations
		sum.Pauses += s.Pauses
	}
	return sum
}

// runWithLoss runs 60 nodes at 20 % packet loss for a duration.
func runWithLoss(config Config, duration time.Duration, seed uint64) (*falsePositiveTracker, Statistics) {
	c := newSimulatedCluster(config, 60, 4, seed)
	c.converge(time.Minute)
	falsePositives := trackFalsePositives(c)
	before := sumStatistics(c)
	c.lossRate = 0.2
	c.run(duration)
	after := sumStatistics(c)
	after.Probes -= before.Probes
	return falsePositives, after
}

func TestNoLiveMemberDeclaredGoneAtTwentyPercentLoss(t *testing.T) {
	falsePositives, sum := runWithLoss(DefaultConfig(), 5*time.Minute, 11)
	t.Logf("%d probes, %d suspicions, %d refutations, %d live members declared gone", sum.Probes, sum.SuspicionsRaised, sum.SelfRefutations, falsePositives.count)
	if falsePositives.count > 0 {
		t.Errorf("%d views showed a live member as gone, for up to %v; want 0", falsePositives.count, falsePositives.longestDuration)
	}
	withoutRefutation := DefaultConfig()
	withoutRefutation.disabled.refutation = true
	unrefuted, _ := runWithLoss(withoutRefutation, time.Minute, 11)
	t.Logf("without refutation: %d live members declared gone", unrefuted.count)
	if unrefuted.count == 0 {
		t.Error("no live member is declared gone without refutation, want at least 1: the run does not exercise refutation")
	}
}

// runReplacement freezes a process, starts its replacement in the same slot, and unfreezes the old
// process. It reports whether the old process was superseded and whether all other views kept the
// replacement.
func runReplacement(config Config, seed uint64) (superseded, successorKept bool) {
	c := newSimulatedCluster(config, 20, 3, seed)
	c.converge(time.Minute)
	old := c.nodes[7]
	old.frozen = true
	c.run(time.Duration(1+seed%20) * time.Second)
	successor := c.start(7, 3, 2000)
	c.run(20 * time.Second)
	c.unfreeze(old)
	successorKept = true
	for range 40 {
		c.run(500 * time.Millisecond)
		for _, node := range c.liveNodes() {
			record, _ := node.core.Lookup(nodeName(7))
			successorKept = successorKept && (node == old || node == successor || record.Incarnation == 2000)
		}
	}
	return old.core.Superseded(), successorKept
}

func TestReplacementSupersedesOldProcessOnEverySeed(t *testing.T) {
	failures := 0
	for seed := range uint64(10) {
		if superseded, successorKept := runReplacement(DefaultConfig(), seed); !superseded || !successorKept {
			t.Errorf("seed %d: old process superseded is %t, replacement kept in all other views is %t; want true, true", seed, superseded, successorKept)
		}
		withoutIncarnations := DefaultConfig()
		withoutIncarnations.disabled.incarnations = true
		if superseded, successorKept := runReplacement(withoutIncarnations, seed); !superseded || !successorKept {
			failures++
		}
	}
	t.Logf("without incarnation order: %d of 10 runs fail", failures)
	if failures == 0 {
		t.Error("no run fails without incarnation order, want at least 1: the runs do not exercise it")
	}
}

// runPause freezes a tenth of the nodes at the same time, for less than the time to be declared
// gone. It returns the number of suspicions that these nodes raise afterwards.
func runPause(config Config, seed uint64) (suspicions uint64, falsePositives *falsePositiveTracker) {
	c := newSimulatedCluster(config, 60, 3, seed)
	c.converge(time.Minute)
	falsePositives = trackFalsePositives(c)
	c.delay = 150 * time.Millisecond
	c.run(5 * time.Second)
	var before uint64
	for _, node := range c.nodes[:6] {
		node.frozen = true
		before += node.core.Statistics().SuspicionsRaised
	}
	c.run(4 * time.Second)
	for _, node := range c.nodes[:6] {
		c.unfreeze(node)
	}
	c.run(20 * time.Second)
	for _, node := range c.nodes[:6] {
		suspicions += node.core.Statistics().SuspicionsRaised
	}
	return suspicions - before, falsePositives
}

func TestNodeRaisesNoSuspicionsAfterPause(t *testing.T) {
	var suspicionsWithoutDetection uint64
	for seed := range uint64(10) {
		suspicions, falsePositives := runPause(DefaultConfig(), seed)
		if suspicions > 0 || falsePositives.count > 0 {
			t.Errorf("seed %d: paused nodes raised %d suspicions, %d live members declared gone; want 0, 0", seed, suspicions, falsePositives.count)
		}
		withoutPauseDetection := DefaultConfig()
		withoutPauseDetection.disabled.pauseDetection = true
		suspicions, _ = runPause(withoutPauseDetection, seed)
		suspicionsWithoutDetection += suspicions
	}
	t.Logf("without pause detection: paused nodes raised %d suspicions", suspicionsWithoutDetection)
	if suspicionsWithoutDetection == 0 {
		t.Error("paused nodes raise no suspicions without pause detection, want at least 1: the runs do not exercise it")
	}
}

// runZonePartition separates one zone from the others for two minutes. It returns the number of
// changes to gone and the time until the views agree after the partition.
func runZonePartition(t *testing.T, config Config) (gone int, convergenceTime time.Duration) {
	c := newSimulatedCluster(config, 60, 4, 21)
	mustConverge(t, c, time.Minute)
	c.onEvent = func(_ *simulatedNode, event Event) {
		if event.Kind == EventChanged && event.Member.State == StateGone {
			gone++
		}
	}
	c.linkDown = func(from, to *simulatedNode) bool { return (from.zone == "zone-1") != (to.zone == "zone-1") }
	c.run(2 * time.Minute)
	c.linkDown = nil
	return gone, mustConverge(t, c, 2*time.Minute)
}

func TestUnreachableZoneIsHeld(t *testing.T) {
	gone, convergenceTime := runZonePartition(t, DefaultConfig())
	t.Logf("with zone holds: %d changes to gone, views agree %v after the partition", gone, convergenceTime)
	if gone > 0 {
		t.Errorf("%d changes to gone in a partition shorter than the hold, want 0", gone)
	}
	config := DefaultConfig()
	config.disabled.zoneHold = true
	gone, convergenceTime = runZonePartition(t, config)
	t.Logf("without zone holds: %d changes to gone, views agree %v after the partition", gone, convergenceTime)
	if gone == 0 {
		t.Error("no member is declared gone without zone holds, want at least 1: the run does not exercise them")
	}
}

func TestZoneIsDeclaredGoneAfterHoldExpires(t *testing.T) {
	config := DefaultConfig()
	config.ZoneHold = time.Minute
	c := newSimulatedCluster(config, 40, 4, 22)
	mustConverge(t, c, time.Minute)
	for _, node := range c.nodes {
		node.crashed = node.zone == "zone-1"
	}
	c.run(30 * time.Second)
	if held := c.liveNodes()[0].core.HeldZones(); !slices.Equal(held, []string{"zone-1"}) {
		t.Fatalf("HeldZones returned %v, want [zone-1]", held)
	}
	mustConverge(t, c, 3*time.Minute)
}

// TestViewsConvergeAfterRandomFaults injects random faults into small clusters. No view may return
// to an older incarnation, and all views must agree after the last fault.
func TestViewsConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 12).Draw(t, "size")
		config := DefaultConfig()
		config.ZoneHold = 30 * time.Second
		c := newSimulatedCluster(config, size, 3, rapid.Uint64().Draw(t, "seed"))
		c.encodePackets = true
		c.onEvent = func(_ *simulatedNode, event Event) {
			regressed := event.Member.Incarnation < event.Previous.Incarnation
			if event.Kind == EventChanged && regressed {
				t.Fatalf("record %+v replaced %+v, which has a higher incarnation", event.Member, event.Previous)
			}
		}
		steps := rapid.IntRange(1, 12).Draw(t, "steps")
		incarnation := uint64(1000)
		for range steps {
			incarnation++
			injectFault(t, c, incarnation)
			c.run(time.Duration(rapid.IntRange(100, 20000).Draw(t, "milliseconds")) * time.Millisecond)
		}
		c.linkDown, c.lossRate, c.delay = nil, 0, 2*time.Millisecond
		for _, node := range c.nodes {
			c.unfreeze(node)
		}
		if c.byAddress[address(0, firstIncarnation)].crashed {
			c.start(0, 3, incarnation+1)
		}
		if _, ok := c.converge(5 * time.Minute); !ok {
			t.Fatalf("views have %d disagreements five minutes after the last fault, want 0", c.disagreements())
		}
	})
}

func injectFault(t *rapid.T, c *simulatedCluster, incarnation uint64) {
	node := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"crash", "replace", "leave", "freeze", "wake", "cut zone", "cut node", "heal", "loss", "delay"}).Draw(t, "fault") {
	case "crash":
		node.crashed = true
	case "replace":
		replaced := c.start(node.index, 3, incarnation)
		for _, old := range c.nodes {
			sameSlot := old != replaced && old.index == node.index
			old.crashed = old.crashed || sameSlot && (old.index == 0 || rapid.Bool().Draw(t, "old process dies"))
		}
	case "leave":
		if !node.crashed {
			node.core.Leave()
		}
	case "freeze":
		node.frozen = true
	case "wake":
		c.unfreeze(node)
	case "cut zone":
		c.linkDown = func(from, to *simulatedNode) bool { return (from.zone == node.zone) != (to.zone == node.zone) }
	case "cut node":
		c.linkDown = func(from, to *simulatedNode) bool { return from == node || to == node }
	case "heal":
		c.linkDown, c.lossRate = nil, 0
	case "loss":
		c.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "loss")
	case "delay":
		c.delay = time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond
	}
}
