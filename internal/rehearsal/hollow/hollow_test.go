package hollow

import (
	"context"
	"reflect"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func smallConfig(virtual bool) Config {
	config := DefaultConfig(16)
	config.Virtual = virtual
	config.Zones, config.Regions, config.Voters = 4, 2, 3
	config.Duration, config.WarmUp = 5*time.Second, 0
	if !virtual {
		config.Duration = time.Second
		config.Scenarios = []Scenario{ScenarioChanges}
		config.ChangeInterval = 200 * time.Millisecond
	}
	return config
}

func checkResult(t *testing.T, result Result) {
	t.Helper()
	for _, phase := range result.Phases {
		changes := phase.Changes
		if changes.Unsettled > 0 || changes.NotServing > 0 || phase.Members.AgreedSeconds < 0 {
			t.Errorf("%s: %+v, %+v", phase.Scenario, changes, phase.Members)
		}
		if phase.Members.Gone > 0 {
			t.Errorf("%s: %d times a live member was declared gone", phase.Scenario, phase.Members.Gone)
		}
		if phase.Scenario != ScenarioRest && changes.InForce.Count != changes.Proposed {
			t.Errorf("%s: %d of %d changes came into force", phase.Scenario, changes.InForce.Count, changes.Proposed)
		}
		for _, load := range phase.Loads {
			if load.WireBytes <= 0 {
				t.Errorf("%s: no traffic of %s", phase.Scenario, load.Role)
			}
		}
	}
}

func TestVirtualFleetRunsAllScenarios(t *testing.T) {
	result, err := Run(context.Background(), smallConfig(true))
	if err != nil {
		t.Fatal(err)
	}
	checkResult(t, result)
}

func TestVirtualFleetRepeats(t *testing.T) {
	config := smallConfig(true)
	config.Scenarios = []Scenario{ScenarioRolling}
	first, err := Run(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Run(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(first.Phases[0].Changes, second.Phases[0].Changes) {
		t.Errorf("two runs with the same seed differ: %+v, %+v", first.Phases[0].Changes, second.Phases[0].Changes)
	}
}

func TestSocketFleet(t *testing.T) {
	defer goleak.VerifyNone(t)
	result, err := Run(context.Background(), smallConfig(false))
	if err != nil {
		t.Fatal(err)
	}
	checkResult(t, result)
}

func TestConfigIsChecked(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.Nodes = 1 },
		func(c *Config) { c.Nodes = MaximumSocketNodes + 1 },
		func(c *Config) { c.Regions = c.Zones + 1 },
		func(c *Config) { c.Voters = 0 },
		func(c *Config) { c.Scenarios = []Scenario{"flood"} },
	} {
		config := DefaultConfig(100)
		change(&config)
		if _, err := Run(context.Background(), config); err == nil {
			t.Errorf("taken: %+v", config)
		}
	}
}
