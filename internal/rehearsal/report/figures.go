package report

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot/plotter"

	"github.com/micaplank/micaplank/internal/rehearsal/experiment"
	"github.com/micaplank/micaplank/internal/rehearsal/simulation"
)

// leastPoliciesForExtra is how many policies of the product a scenario needs
// for a plot of extra load over tail.
const leastPoliciesForExtra = 2

// planFigures chooses the figures of a result: the latency distribution of
// each scenario, the tail over the load of each series, and extra load over
// tail where several settings of the product ran.
func planFigures(result *experiment.Result) []plannedFigure {
	var planned []plannedFigure
	var series []string
	for _, scenario := range result.Experiment.Scenarios {
		switch {
		case scenario.Series == "":
			planned = append(planned, distribution(result, scenario))
			if productPolicies(result, scenario.Name) >= leastPoliciesForExtra {
				planned = append(planned, extraOverTail(result, scenario))
			}
		case !slices.Contains(series, scenario.Series):
			series = append(series, scenario.Series)
			planned = append(planned, tailOverLoad(result, scenario))
		}
	}
	return planned
}

// productPolicies counts the policies of the product that ran in a scenario.
func productPolicies(result *experiment.Result, scenario string) int {
	count := 0
	for _, policy := range result.Experiment.Policies {
		ran := slices.ContainsFunc(result.Cells, func(cell simulation.Result) bool {
			return cell.Scenario == scenario && cell.Policy == policy.Name
		})
		if ran && policy.Kind == simulation.PolicyDispatch {
			count++
		}
	}
	return count
}

// checkClass is the class whose tail matters most: the first short check, or
// else the first class.
func checkClass(service simulation.Service) int {
	index := slices.IndexFunc(service.Classes, func(c simulation.Class) bool { return c.Kind == simulation.KindCheck })
	return max(index, 0)
}

// curvesOf makes a curve for each policy.
func curvesOf(result *experiment.Result, points func(policy string) plotter.XYs) []curve {
	var curves []curve
	for i, policy := range result.Experiment.Policies {
		curves = append(curves, curve{policy: policy.Name, colour: colours[i%len(colours)], points: points(policy.Name)})
	}
	return curves
}

func distribution(result *experiment.Result, scenario experiment.Scenario) plannedFigure {
	return plannedFigure{
		Figure: Figure{
			Title: fmt.Sprintf("Latency of the short checks: %s", scenario.Title),
			File:  fmt.Sprintf("latency-%s.svg", scenario.Name),
		},
		axes: axes{horizontal: "latency (ms)", vertical: "share that takes longer", logHorizontal: true, logVertical: true, legendLeft: true},
		curves: func(service simulation.Service) []curve {
			return curvesOf(result, func(policy string) plotter.XYs {
				phases := phasesOf(result, scenario.Name, service.Name, policy)
				if len(phases) == 0 {
					return nil
				}
				return beyond(meanQuantiles(phases, checkClass(service)))
			})
		},
	}
}

func tailOverLoad(result *experiment.Result, first experiment.Scenario) plannedFigure {
	return plannedFigure{
		Figure: Figure{
			Title: fmt.Sprintf("Tail of the short checks over load: %s", first.Title),
			File:  fmt.Sprintf("tail-over-%s.svg", first.Series),
		},
		axes: axes{horizontal: "offered load", vertical: "p99 (ms)", dots: true, legendLeft: true, legendTop: true},
		curves: func(service simulation.Service) []curve {
			return curvesOf(result, func(policy string) plotter.XYs {
				var points plotter.XYs
				for _, scenario := range result.Experiment.Scenarios {
					phases := phasesOf(result, scenario.Name, service.Name, policy)
					if scenario.Series != first.Series || len(phases) == 0 {
						continue
					}
					if tail := tailOf(phases, service); tail < unansweredAbove {
						points = append(points, plotter.XY{X: scenario.Load[0].Level, Y: tail})
					}
				}
				return points
			})
		},
	}
}

// tailOf is the mean p99 of the short checks.
func tailOf(phases []*simulation.PhaseResult, service simulation.Service) float64 {
	return over(phases, func(p *simulation.PhaseResult) float64 {
		return p.Classes[checkClass(service)].Quantile(0.99)
	}).Mean
}

// extraOverTail leaves the baseline out: it is too far off for the same scale.
func extraOverTail(result *experiment.Result, scenario experiment.Scenario) plannedFigure {
	baseline := ""
	for _, policy := range result.Experiment.Policies {
		if policy.Kind == simulation.PolicyBaseline {
			baseline = policy.Name
		}
	}
	return plannedFigure{
		Figure: Figure{
			Title: fmt.Sprintf("Extra load over the tail of the short checks: %s", scenario.Title),
			File:  fmt.Sprintf("extra-%s.svg", scenario.Name),
		},
		axes: axes{horizontal: "p99 (ms)", vertical: "extra load (%)", scatter: true, legendTop: true},
		curves: func(service simulation.Service) []curve {
			return curvesOf(result, func(policy string) plotter.XYs {
				phases := phasesOf(result, scenario.Name, service.Name, policy)
				if policy == baseline || len(phases) == 0 || tailOf(phases, service) > unansweredAbove {
					return nil
				}
				extra := over(phases, func(p *simulation.PhaseResult) float64 { return 100 * p.Extra() })
				return plotter.XYs{{X: tailOf(phases, service), Y: extra.Mean}}
			})
		},
	}
}
