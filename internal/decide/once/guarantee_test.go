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

// maxSchedules is how many seeded schedules may run until one breaks the guarantee without a
// mechanism.
const maxSchedules = 20000

// TestEachMechanismIsNeeded covers the mechanisms whose absence random schedules reveal often
// enough. The tests whose names begin with TestFence, and TestDecisionDoesNotOutliveTheOwnership,
// switch off the others one by one.
func TestEachMechanismIsNeeded(t *testing.T) {
	for name, disabled := range map[string]disabledMechanisms{
		"fence":             {fence: true},
		"drop bound":        {droppedBound: true},
		"suspension":        {suspension: true},
		"future bound":      {futureBound: true},
		"may-have-run flag": {mayHaveRunFlag: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := testConfig()
			config.disabled = disabled
			schedule := rapid.Custom(func(draw *rapid.T) error { return runSchedule(draw, config) })
			for seed := range maxSchedules {
				if err := schedule.Example(seed); err != nil {
					t.Logf("without the %s, schedule %d fails: %v", name, seed, err)
					return
				}
			}
			t.Fatalf("none of %d schedules failed without the %s", maxSchedules, name)
		})
	}
}
