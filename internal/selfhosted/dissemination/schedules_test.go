package dissemination

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawFault draws one fault of a schedule.
func drawFault(t *rapid.T) fault {
	return fault{
		kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		at:       Time(rapid.IntRange(0, 40).Draw(t, "at")) * time.Second,
		duration: Time(rapid.IntRange(1, 25).Draw(t, "duration")) * time.Second,
		target:   rapid.IntRange(0, nodeCount-1).Draw(t, "target"),
	}
}

// TestNodesStayFreshDuringOutageAndReplacement checks that nodes remain fresh while the store is
// down and the voters are replaced one after another.
func TestNodesStayFreshDuringOutageAndReplacement(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		sim := newSimulation(seed, 5, seed%2 == 1)
		sim.startFault(fault{kind: "outage", duration: 50 * time.Second})
		sim.startFault(fault{kind: "replace all voters in turn", duration: 40 * time.Second})
		sim.freshnessChecks, sim.freshChecks = 0, 0
		sim.run(sim.now + 50*time.Second)
		if share := float64(sim.freshChecks) / float64(sim.freshnessChecks); len(sim.violations) > 0 || share < 0.9 {
			t.Fatalf("seed %d: got fresh in %.3f of the checks and violations %v, want at least 0.9 and none", seed, share, sim.violations)
		}
	}
}

// TestSchedules runs random schedules of faults and checks that no safety property is violated. To
// run more schedules:
//
//	go test -run TestSchedules -rapid.checks=5000 ./internal/selfhosted/dissemination
func TestSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := schedule{
			seed:      rapid.Uint64().Draw(t, "seed"),
			voters:    rapid.SampledFrom([]int{3, 5, 3, 1, 4}).Draw(t, "voters"),
			useRelays: rapid.Bool().Draw(t, "relays"),
			faults:    rapid.SliceOfN(rapid.Custom(drawFault), 0, 5).Draw(t, "faults"),
		}
		sim := runSchedule(s)
		if len(sim.violations) > 0 {
			t.Fatalf("%s", strings.Join(sim.violations, "\n"))
		}
	})
}
