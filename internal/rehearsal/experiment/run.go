package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/micaplank/micaplank/internal/rehearsal/simulation"
)

// Result is an experiment and what its cells measured.
type Result struct {
	Experiment Experiment `json:"experiment"`
	// Cells are in the order of scenarios, services, policies and seeds.
	Cells    []simulation.Result `json:"cells"`
	Verdicts []Verdict           `json:"verdicts"`
}

// Run runs every cell of the matrix and judges the bars. It blocks until all
// are done, or returns the first error; the context ends it early. Progress is
// written as one line for each scenario that is done.
func Run(ctx context.Context, experiment Experiment, progress io.Writer) (Result, error) {
	configs, err := experiment.cells()
	if err != nil {
		return Result{}, err
	}
	result := Result{Experiment: experiment, Cells: make([]simulation.Result, len(configs))}
	reporter := newReporter(progress, configs)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(experiment.Workers, 1))
	for i, config := range configs {
		group.Go(func() error {
			cell, err := simulation.Run(ctx, config)
			if err != nil {
				return fmt.Errorf("%s, %s, %s, seed %d: %w", config.Scenario.Name, config.Service.Name, config.Policy.Name, config.Seed, err)
			}
			result.Cells[i] = cell
			reporter.done(config)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return Result{}, err
	}
	result.Verdicts = result.judge()
	return result, nil
}

// cells lists the runs of the matrix.
func (e *Experiment) cells() ([]simulation.Config, error) {
	var configs []simulation.Config
	for _, scenario := range e.Scenarios {
		for _, service := range e.Deployment.Services {
			if slices.Contains(scenario.Except, service.Name) {
				continue
			}
			for _, policy := range e.Policies {
				if !policy.runsIn(scenario) {
					continue
				}
				more, err := e.cellsOf(scenario, service, policy)
				if err != nil {
					return nil, err
				}
				configs = append(configs, more...)
			}
		}
	}
	return configs, nil
}

// cellsOf lists the runs of one cell, one for each seed.
func (e *Experiment) cellsOf(scenario Scenario, service simulation.Service, policy Policy) ([]simulation.Config, error) {
	simulated, err := policy.simulated()
	if err != nil {
		return nil, err
	}
	service.Classes = policy.classes(service.Classes)
	seeds := e.Seeds
	if scenario.Seeds > 0 && scenario.Seeds < len(seeds) {
		seeds = seeds[:scenario.Seeds]
	}
	var configs []simulation.Config
	for _, seed := range seeds {
		configs = append(configs, simulation.Config{
			Deployment: e.Deployment, Service: service,
			Scenario: forService(scenario.Scenario, service), Policy: simulated, Seed: seed,
		})
	}
	return configs, nil
}

// forService counts the leaves of faults around in a smaller service.
func forService(scenario simulation.Scenario, service simulation.Service) simulation.Scenario {
	scenario.Faults = slices.Clone(scenario.Faults)
	for i := range scenario.Faults {
		scenario.Faults[i].Leaf %= service.Leaves
	}
	return scenario
}

// reporter writes progress.
type reporter struct {
	mutex   sync.Mutex
	out     io.Writer
	started time.Time
	left    map[string]int
	total   int
	count   int
}

func newReporter(out io.Writer, configs []simulation.Config) *reporter {
	r := &reporter{out: out, started: time.Now(), left: make(map[string]int), total: len(configs)}
	for _, config := range configs {
		r.left[config.Scenario.Name]++
	}
	return r
}

func (r *reporter) done(config simulation.Config) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.count++
	r.left[config.Scenario.Name]--
	if r.out == nil || r.left[config.Scenario.Name] > 0 {
		return
	}
	elapsed := time.Since(r.started).Round(time.Second)
	fmt.Fprintf(r.out, "%s done: %d of %d runs after %s\n", config.Scenario.Name, r.count, r.total, elapsed)
}
