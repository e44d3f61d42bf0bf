package experiment

import (
	"fmt"
	"math"
	"slices"

	"github.com/micaplank/micaplank/internal/rehearsal/simulation"
)

// Measure names a figure of a run that a bar can bound.
type Measure string

// The measures. Those "over" another policy compare runs of the same seed.
const (
	// MeasureOverOracle is the quantile 0.99 of the latency of a kind of
	// class, over that of the oracle.
	MeasureOverOracle Measure = "p99_over_oracle"
	// MeasureBaselineOver is the quantile 0.99 of the baseline over that of
	// the policy.
	MeasureBaselineOver Measure = "baseline_over_p99"
	// MeasureExtra is the share of attempts beyond those needed.
	MeasureExtra Measure = "extra_load"
	// MeasureCoverage is the share of queries of a kind with a whole answer.
	MeasureCoverage Measure = "whole_answers"
	// MeasureViolations is the number of broken promises.
	MeasureViolations Measure = "violations"
	// MeasureGoodput is the useful work over that of the best policy.
	MeasureGoodput Measure = "goodput_over_best"
	// MeasureRefusal is the quantile 0.99 of the time to a refusal, in
	// milliseconds, of all kinds.
	MeasureRefusal Measure = "refusal_p99_ms"
	// MeasureBare is the number of refusals for load without Retry-After.
	MeasureBare Measure = "refusals_without_retry_after"
	// MeasureRecovery is the quantile 0.99 of a kind in the phase over that in
	// the phase "before".
	MeasureRecovery Measure = "p99_over_before"
	// MeasureShare is the work that the leaf of the first fault got, over the
	// mean of all leaves.
	MeasureShare Measure = "faulty_leaf_share"
)

// phaseBefore is the phase that MeasureRecovery compares with.
const phaseBefore = "before"

// Bar bounds the mean of a measure over the seeds, for each service.
type Bar struct {
	Measure  Measure `toml:"measure" json:"measure" validate:"required"`
	Scenario string  `toml:"scenario" json:"scenario" validate:"required"`
	// Phase is the window; empty means the whole measured time.
	Phase string `toml:"phase" json:"phase,omitempty"`
	// Kind is the kind of class, where the measure needs one.
	Kind simulation.Kind `toml:"kind" json:"kind,omitempty"`
	// Most and Least bound the mean; one of them is set.
	Most  *float64 `toml:"most" json:"most,omitempty"`
	Least *float64 `toml:"least" json:"least,omitempty"`
}

// Verdict is a bar, the figure measured of one service and policy, and
// whether it meets the bar.
type Verdict struct {
	Bar     Bar    `json:"bar"`
	Service string `json:"service"`
	Policy  string `json:"policy"`
	Figure  Figure `json:"figure"`
	Pass    bool   `json:"pass"`
}

// Figure is a mean over seeds and its spread.
type Figure struct {
	Mean      float64 `json:"mean"`
	Deviation float64 `json:"standard_deviation"`
	Least     float64 `json:"least"`
	Most      float64 `json:"most"`
	Count     int     `json:"count"`
}

// NewFigure sums up values, one for each seed.
func NewFigure(values []float64) Figure {
	if len(values) == 0 {
		return Figure{}
	}
	figure := Figure{Least: slices.Min(values), Most: slices.Max(values), Count: len(values)}
	for _, value := range values {
		figure.Mean += value
	}
	figure.Mean /= float64(len(values))
	for _, value := range values {
		figure.Deviation += (value - figure.Mean) * (value - figure.Mean)
	}
	if len(values) > 1 {
		figure.Deviation = math.Sqrt(figure.Deviation / float64(len(values)-1))
	}
	return figure
}

// meets reports whether the figure's mean is within the bar.
func (b *Bar) meets(figure Figure) bool {
	if b.Most != nil && figure.Mean > *b.Most {
		return false
	}
	return b.Least == nil || figure.Mean >= *b.Least
}

// phase is the name of the window that the bar looks at.
func (b *Bar) phase() string {
	if b.Phase == "" {
		return simulation.PhaseAll
	}
	return b.Phase
}

// checkBar finds bars that can't be judged.
func (e *Experiment) checkBar(bar Bar) error {
	if _, known := measures[bar.Measure]; !known {
		return fmt.Errorf("bar: no measure %q", bar.Measure)
	}
	if (bar.Most == nil) == (bar.Least == nil) {
		return fmt.Errorf("bar %s of %s: one of most and least must be set", bar.Measure, bar.Scenario)
	}
	for _, scenario := range e.Scenarios {
		if scenario.Name != bar.Scenario {
			continue
		}
		known := bar.Phase == "" || slices.ContainsFunc(scenario.Phases, func(p simulation.Phase) bool { return p.Name == bar.Phase })
		if !known {
			return fmt.Errorf("bar %s of %s: no phase %q", bar.Measure, bar.Scenario, bar.Phase)
		}
		return nil
	}
	return fmt.Errorf("bar %s: no scenario %q", bar.Measure, bar.Scenario)
}

// String writes a verdict on one line.
func (v Verdict) String() string {
	word, limit := "FAIL", ""
	if v.Pass {
		word = "pass"
	}
	if v.Bar.Most != nil {
		limit = fmt.Sprintf("at most %g", *v.Bar.Most)
	} else {
		limit = fmt.Sprintf("at least %g", *v.Bar.Least)
	}
	return fmt.Sprintf("%s  %s of %s %s, %s, %s: %.4g ± %.2g (%.4g to %.4g over %d seeds), bar %s",
		word, v.Bar.Measure, v.Bar.Scenario, v.Bar.Phase, v.Service, v.Policy,
		v.Figure.Mean, v.Figure.Deviation, v.Figure.Least, v.Figure.Most, v.Figure.Count, limit)
}
