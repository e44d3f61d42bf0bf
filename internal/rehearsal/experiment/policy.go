package experiment

import (
	"fmt"
	"slices"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/rehearsal/simulation"
)

// simulated is the policy as the simulation takes it.
func (p *Policy) simulated() (simulation.Policy, error) {
	policy := simulation.Policy{Name: p.Name, Kind: p.Kind, Dispatch: dispatch.DefaultConfig()}
	if err := applySettings(&policy.Dispatch, p.Settings); err != nil {
		return simulation.Policy{}, fmt.Errorf("policy %s: %w", p.Name, err)
	}
	return policy, nil
}

// runsIn reports whether the policy takes part in a scenario.
func (p *Policy) runsIn(scenario Scenario) bool {
	return len(p.Only) == 0 || slices.Contains(p.Only, scenario.Name) ||
		scenario.Series != "" && slices.Contains(p.Only, scenario.Series)
}

// classes are those of a service as the policy wants them.
func (p *Policy) classes(classes []simulation.Class) []simulation.Class {
	changed := slices.Clone(classes)
	for i := range changed {
		if p.HedgePercentile != nil && changed[i].HedgePercentile > 0 {
			changed[i].HedgePercentile = *p.HedgePercentile
		}
		if p.ExtraLoad != nil && changed[i].ExtraLoad > 0 {
			changed[i].ExtraLoad = *p.ExtraLoad
		}
	}
	return changed
}
