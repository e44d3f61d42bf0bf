package membership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// falseDeaths records, for each observer and subject, how long a process that
// runs and can be reached was seen as gone.
type falseGone struct {
	count   int
	longest time.Duration
	since   map[[2]string]time.Duration
}

func trackFalseGone(c *simulatedCluster) *falseGone {
	f := &falseGone{since: make(map[[2]string]time.Duration)}
	running := func(m Member) bool {
		node := c.byAddress[m.Address]
		return node != nil && !node.dead && !node.frozen && node.core.Self().Incarnation == m.Incarnation
	}
	c.onEvent = func(observer *simulatedNode, event Event) {
		if event.Kind != EventChanged {
			return
		}
		key := [2]string{observer.core.Self().Name, event.Member.Name}
		goneSince, seenGone := f.since[key]
		switch {
		case event.Member.State == StateGone && running(event.Member):
			f.count++
			f.since[key] = c.now
		case event.Member.State != StateGone && seenGone:
			f.longest = max(f.longest, c.now-goneSince)
			delete(f.since, key)
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

// lossRun is a while of sixty nodes that lose a fifth of all packets.
func runWithLoss(config Config, duration time.Duration, seed uint64) (*falseGone, Statistics) {
	c := newCluster(config, 60, 4, seed)
	c.converge(time.Minute)
	deaths := trackFalseGone(c)
	before := sumStatistics(c)
	c.lossRate = 0.2
	c.run(duration)
	after := sumStatistics(c)
	after.Probes -= before.Probes
	return deaths, after
}

func TestNoLiveMemberDeclaredGoneAtTwentyPercentLoss(t *testing.T) {
	deaths, sum := runWithLoss(DefaultConfig(), 5*time.Minute, 11)
	t.Logf("%d probes, %d suspicions, %d refutations, %d false deaths", sum.Probes, sum.SuspicionsRaised, sum.SelfRefutations, deaths.count)
	if deaths.count > 0 {
		t.Errorf("%d views declared a live member gone, for up to %v", deaths.count, deaths.longest)
	}
	withoutRefutation := DefaultConfig()
	withoutRefutation.disabled.refutation = true
	disabledResult, _ := runWithLoss(withoutRefutation, time.Minute, 11)
	t.Logf("without refutation: %d false deaths", disabledResult.count)
	if disabledResult.count == 0 {
		t.Error("the run does not need refutation: it proves nothing")
	}
}

// replacementRun freezes a process, starts its successor in the same slot, and
// wakes the frozen one. It reports whether that one knows of it and whether
// all others kept to the successor.
func runReplacement(config Config, seed uint64) (superseded, successorKept bool) {
	c := newCluster(config, 20, 3, seed)
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
			seen, _ := node.core.Lookup(nodeName(7))
			successorKept = successorKept && (node == old || node == successor || seen.Incarnation == 2000)
		}
	}
	return old.core.Superseded(), successorKept
}

func TestReplacementSupersedesOldProcessOnEverySeed(t *testing.T) {
	failures := 0
	for seed := range uint64(10) {
		if superseded, kept := runReplacement(DefaultConfig(), seed); !superseded || !kept {
			t.Errorf("seed %d: old process superseded %t, others kept to the new one %t", seed, superseded, kept)
		}
		withoutIncarnations := DefaultConfig()
		withoutIncarnations.disabled.incarnations = true
		if superseded, kept := runReplacement(withoutIncarnations, seed); !superseded || !kept {
			failures++
		}
	}
	t.Logf("without the order of incarnations: %d of 10 runs fail", failures)
	if failures == 0 {
		t.Error("the runs do not need the order of incarnations: they prove nothing")
	}
}

// pauseRun freezes a tenth of the nodes, together, for a while that is shorter
// than the time to be declared gone, and counts the members that they accuse.
func runPause(config Config, seed uint64) (accused uint64, deaths *falseGone) {
	c := newCluster(config, 60, 3, seed)
	c.converge(time.Minute)
	deaths = trackFalseGone(c)
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
		accused += node.core.Statistics().SuspicionsRaised
	}
	return accused - before, deaths
}

func TestNodeRaisesNoSuspicionsAfterPause(t *testing.T) {
	var accusedWithout uint64
	for seed := range uint64(10) {
		accused, deaths := runPause(DefaultConfig(), seed)
		if accused > 0 || deaths.count > 0 {
			t.Errorf("seed %d: woken nodes accused %d, false deaths %d", seed, accused, deaths.count)
		}
		withoutPauseDetection := DefaultConfig()
		withoutPauseDetection.disabled.pauseDetection = true
		accused, _ = runPause(withoutPauseDetection, seed)
		accusedWithout += accused
	}
	t.Logf("without pause detection, woken nodes accused %d", accusedWithout)
	if accusedWithout == 0 {
		t.Error("the runs do not need pause detection: they prove nothing")
	}
}

// zoneRun cuts one zone off for two minutes and heals the cut.
func runZoneCut(t *testing.T, config Config) (gone int, healed time.Duration) {
	c := newCluster(config, 60, 4, 21)
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
	gone, healed := runZoneCut(t, DefaultConfig())
	t.Logf("with holds: %d changes to gone, views agree %v after the cut", gone, healed)
	if gone > 0 {
		t.Errorf("%d changes to gone in a cut that is shorter than the hold", gone)
	}
	config := DefaultConfig()
	config.disabled.zoneHold = true
	gone, healed = runZoneCut(t, config)
	t.Logf("without holds: %d changes to gone, views agree %v after the cut", gone, healed)
	if gone == 0 {
		t.Error("the run does not need holds: it proves nothing")
	}
}

func TestZoneIsDeclaredGoneAfterHoldExpires(t *testing.T) {
	config := DefaultConfig()
	config.ZoneHold = time.Minute
	c := newCluster(config, 40, 4, 22)
	mustConverge(t, c, time.Minute)
	for _, node := range c.nodes {
		node.dead = node.zone == "zone-1"
	}
	c.run(30 * time.Second)
	if held := c.liveNodes()[0].core.HeldZones(); !slices.Equal(held, []string{"zone-1"}) {
		t.Fatalf("held zones are %v", held)
	}
	mustConverge(t, c, 3*time.Minute)
}

// TestSchedules drives small clusters through random schedules of faults. In
// each, no view may go back to an older incarnation, and all views agree in
// the end.
func TestViewsConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 12).Draw(t, "size")
		config := DefaultConfig()
		config.ZoneHold = 30 * time.Second
		c := newCluster(config, size, 3, rapid.Uint64().Draw(t, "seed"))
		c.encodePackets = true
		c.onEvent = func(_ *simulatedNode, event Event) {
			regressed := event.Member.Incarnation < event.Previous.Incarnation
			if event.Kind == EventChanged && regressed {
				t.Fatalf("%+v came back in place of %+v", event.Member, event.Previous)
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
		if c.byAddress[address(0, firstIncarnation)].dead {
			c.start(0, 3, incarnation+1)
		}
		if _, ok := c.converge(5 * time.Minute); !ok {
			t.Fatalf("%d disagreements five minutes after the last fault", c.disagreements())
		}
	})
}

func injectFault(t *rapid.T, c *simulatedCluster, incarnation uint64) {
	node := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"crash", "replace", "leave", "freeze", "wake", "cut zone", "cut node", "heal", "loss", "delay"}).Draw(t, "fault") {
	case "crash":
		node.dead = true
	case "replace":
		replaced := c.start(node.index, 3, incarnation)
		for _, old := range c.nodes {
			sameSlot := old != replaced && old.index == node.index
			old.dead = old.dead || sameSlot && (old.index == 0 || rapid.Bool().Draw(t, "old process dies"))
		}
	case "leave":
		if !node.dead {
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
