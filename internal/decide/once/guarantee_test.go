package once

import (
	"testing"

	"pgregory.net/rapid"
)

func TestNoIDRunsTwice(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		if err := runSchedule(draw, testConfig()); err != nil {
			draw.Fatal(err)
		}
	})
}

// schedulesToFail is how many seeded schedules a switched-off mechanism gets
// to break a promise.
const maxSchedules = 20000

// The mechanisms left out here break too seldom at random; the tests named TestFence and
// TestDecisionDoesNotOutliveTheOwnership switch them off one by one.
func TestEachMechanismIsNeeded(t *testing.T) {
	for name, disabled := range map[string]disabledMechanisms{
		"fence":          {fence: true},
		"drop bound":     {droppedBound: true},
		"suspension":     {suspension: true},
		"future bound":   {futureBound: true},
		"honest refusal": {mayHaveRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := testConfig()
			config.disabled = disabled
			schedule := rapid.Custom(func(draw *rapid.T) error { return runSchedule(draw, config) })
			for seed := range maxSchedules {
				if err := schedule.Example(seed); err != nil {
					t.Logf("without the %s, schedule %d: %v", name, seed, err)
					return
				}
			}
			t.Fatalf("%d schedules broke nothing without the %s", maxSchedules, name)
		})
	}
}
