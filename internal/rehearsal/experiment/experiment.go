// Package experiment runs a matrix of simulations: the services of one
// deployment, under several scenarios and policies, over several seeds, and
// judges the figures against bars.
//
// An experiment is a TOML file; Load reads it strictly, Run runs its cells on
// a bounded number of workers. The same file gives the same Result.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/rehearsal/simulation"
)

// DefaultWorkers is how many cells run at once unless the file says otherwise.
const DefaultWorkers = 4

// Experiment is a matrix of simulations and the bars for their figures.
type Experiment struct {
	Name  string `toml:"name" json:"name" validate:"required"`
	Title string `toml:"title" json:"title"`
	// Seeds are the seeds of the runs; each cell runs once with each.
	Seeds []uint64 `toml:"seeds" json:"seeds" validate:"min=1"`
	// Workers bounds the cells that run at once.
	Workers    int                   `toml:"workers" json:"workers" validate:"gte=0"`
	Deployment simulation.Deployment `toml:"deployment" json:"deployment"`
	Scenarios  []Scenario            `toml:"scenarios" json:"scenarios" validate:"min=1,dive"`
	Policies   []Policy              `toml:"policies" json:"policies" validate:"min=1,dive"`
	Bars       []Bar                 `toml:"bars" json:"bars" validate:"dive"`
}

// Scenario is a scenario of the simulation and the services that meet it.
type Scenario struct {
	simulation.Scenario
	// Except lists the services for which the scenario makes no sense.
	Except []string `toml:"except" json:"except,omitempty"`
	// Levels makes a series of the scenario: one for each offered load, which
	// takes the place of Load.
	Levels []float64 `toml:"levels" json:"levels,omitempty" validate:"dive,gt=0"`
	// Seeds, if set, limits the scenario to the first seeds.
	Seeds int `toml:"seeds" json:"seeds,omitempty" validate:"gte=0"`
	// Series is the name of the series that the scenario belongs to.
	Series string `toml:"-" json:"series,omitempty"`
}

// Policy is a policy and, for the dispatcher, what differs from its defaults.
type Policy struct {
	Name string                `toml:"name" json:"name" validate:"required"`
	Kind simulation.PolicyKind `toml:"kind" json:"kind" validate:"oneof=dispatch baseline oracle clairvoyant urgent_oracle"`
	// Only lists the scenarios or series in which the policy runs; none means
	// all.
	Only []string `toml:"only" json:"only,omitempty"`
	// Alternative is set for a policy that is measured beside the others and
	// not judged.
	Alternative bool `toml:"alternative" json:"alternative,omitempty"`
	// HedgePercentile and ExtraLoad, if set, take the place of those of every
	// class that hedges.
	HedgePercentile *float64 `toml:"hedge_percentile" json:"hedge_percentile,omitempty" validate:"omitempty,gte=0,lt=1"`
	ExtraLoad       *float64 `toml:"extra_load" json:"extra_load,omitempty" validate:"omitempty,gte=0,lte=1"`
	// Settings override fields of dispatch.Config, named in snake case and
	// nested as they are; durations are texts.
	Settings map[string]any `toml:"settings" json:"settings,omitempty"`
}

// Load reads an experiment file. Unknown keys and values out of range are
// errors; those of the notation name the line.
func Load(path string) (Experiment, error) {
	wrong := oops.In("experiment").With("step", "load", "path", path)
	text, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, wrong.Wrap(err)
	}
	experiment, err := parse(text)
	if err != nil {
		return Experiment{}, wrong.Wrap(err)
	}
	return experiment, nil
}

func parse(text []byte) (Experiment, error) {
	experiment := Experiment{Workers: min(DefaultWorkers, runtime.GOMAXPROCS(0))}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&experiment); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return Experiment{}, fmt.Errorf("unknown keys:\n%s", unknown.String())
		}
		return Experiment{}, err
	}
	experiment.expandSeries()
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(&experiment); err != nil {
		return Experiment{}, err
	}
	return experiment, experiment.check()
}

// expandSeries replaces each scenario with levels by one for each level.
func (e *Experiment) expandSeries() {
	var expanded []Scenario
	for _, scenario := range e.Scenarios {
		if len(scenario.Levels) == 0 {
			expanded = append(expanded, scenario)
			continue
		}
		for _, level := range scenario.Levels {
			one := scenario
			one.Series = scenario.Name
			one.Name = fmt.Sprintf("%s-%.2f", scenario.Name, level)
			one.Levels = nil
			one.Load = []simulation.LoadStep{{Level: level}}
			expanded = append(expanded, one)
		}
	}
	e.Scenarios = expanded
}

// check finds what the tags can't: names that don't meet, and settings that
// fit no field.
func (e *Experiment) check() error {
	for _, policy := range e.Policies {
		if _, err := policy.simulated(); err != nil {
			return err
		}
	}
	for _, bar := range e.Bars {
		if err := e.checkBar(bar); err != nil {
			return err
		}
	}
	for _, scenario := range e.Scenarios {
		for _, name := range scenario.Except {
			if !slices.ContainsFunc(e.Deployment.Services, func(s simulation.Service) bool { return s.Name == name }) {
				return fmt.Errorf("scenario %s: no service %q", scenario.Name, name)
			}
		}
	}
	return nil
}

// Only narrows an experiment to one scenario, one service and the first seeds;
// empty names and zero seeds keep all. Bars of scenarios that are left out are
// dropped.
func (e Experiment) Only(scenario, service string, seeds int) Experiment {
	if scenario != "" {
		e.Scenarios = slices.DeleteFunc(slices.Clone(e.Scenarios), func(s Scenario) bool { return s.Name != scenario && s.Series != scenario })
		e.Bars = slices.DeleteFunc(slices.Clone(e.Bars), func(b Bar) bool { return b.Scenario != scenario })
	}
	if service != "" {
		e.Deployment.Services = slices.DeleteFunc(slices.Clone(e.Deployment.Services), func(s simulation.Service) bool { return s.Name != service })
	}
	if seeds > 0 && seeds < len(e.Seeds) {
		e.Seeds = e.Seeds[:seeds]
	}
	return e
}
