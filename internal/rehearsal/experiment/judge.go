package experiment

import (
	"slices"

	"github.com/micaplank/micaplank/internal/rehearsal/simulation"
)

// cellKey names one cell of the matrix.
type cellKey struct {
	scenario, service, policy string
	seed                      uint64
}

// matrix finds cells by name.
type matrix struct {
	experiment *Experiment
	cells      map[cellKey]*simulation.Result
}

// measures computes each measure for one cell; false means that the cell has
// no such figure.
var measures map[Measure]func(m *matrix, bar *Bar, key cellKey) (float64, bool)

func init() {
	measures = map[Measure]func(m *matrix, bar *Bar, key cellKey) (float64, bool){
		MeasureOverOracle:   (*matrix).overOracle,
		MeasureBaselineOver: (*matrix).baselineOver,
		MeasureExtra:        (*matrix).extra,
		MeasureCoverage:     (*matrix).wholeAnswers,
		MeasureViolations:   (*matrix).violations,
		MeasureGoodput:      (*matrix).goodput,
		MeasureRefusal:      (*matrix).refusal,
		MeasureBare:         (*matrix).bare,
		MeasureRecovery:     (*matrix).recovery,
		MeasureShare:        (*matrix).faultyShare,
	}
}

// judge computes a verdict for each bar, service and policy under test.
func (r *Result) judge() []Verdict {
	m := &matrix{experiment: &r.Experiment, cells: make(map[cellKey]*simulation.Result)}
	for i := range r.Cells {
		cell := &r.Cells[i]
		m.cells[cellKey{cell.Scenario, cell.Service, cell.Policy, cell.Seed}] = cell
	}
	var verdicts []Verdict
	for _, bar := range r.Experiment.Bars {
		for _, policy := range r.Experiment.Policies {
			if policy.Kind != simulation.PolicyDispatch || policy.Alternative {
				continue
			}
			for _, service := range r.Experiment.Deployment.Services {
				verdicts = m.appendVerdict(verdicts, bar, service.Name, policy.Name)
			}
		}
	}
	return verdicts
}

func (m *matrix) appendVerdict(verdicts []Verdict, bar Bar, service, policy string) []Verdict {
	var values []float64
	for _, seed := range m.experiment.Seeds {
		key := cellKey{bar.Scenario, service, policy, seed}
		if m.cells[key] == nil {
			continue
		}
		if value, ok := measures[bar.Measure](m, &bar, key); ok {
			values = append(values, value)
		}
	}
	if len(values) == 0 {
		return verdicts
	}
	figure := NewFigure(values)
	return append(verdicts, Verdict{Bar: bar, Service: service, Policy: policy, Figure: figure, Pass: bar.meets(figure)})
}

// of returns the phase of a cell that the bar looks at.
func (m *matrix) of(bar *Bar, key cellKey) *simulation.PhaseResult {
	cell := m.cells[key]
	if cell == nil {
		return nil
	}
	return cell.Phase(bar.phase())
}

// p99 is the worst quantile 0.99 among the classes of the bar's kind.
func p99(phase *simulation.PhaseResult, kind simulation.Kind) (float64, bool) {
	if phase == nil {
		return 0, false
	}
	worst, found := 0.0, false
	for i := range phase.Classes {
		if phase.Classes[i].Kind == kind && phase.Classes[i].Sent > 0 {
			worst, found = max(worst, phase.Classes[i].Quantile(0.99)), true
		}
	}
	return worst, found
}

// ratio compares the p99 of two cells.
func ratio(above, below *simulation.PhaseResult, kind simulation.Kind) (float64, bool) {
	numerator, hasNumerator := p99(above, kind)
	denominator, hasDenominator := p99(below, kind)
	if !hasNumerator || !hasDenominator || denominator == 0 {
		return 0, false
	}
	return numerator / denominator, true
}

// yardstick is the cell of a yardstick with the same seed.
func (m *matrix) yardstick(kind simulation.PolicyKind, key cellKey) cellKey {
	for _, policy := range m.experiment.Policies {
		if policy.Kind == kind {
			key.policy = policy.Name
			return key
		}
	}
	return cellKey{}
}

func (m *matrix) overOracle(bar *Bar, key cellKey) (float64, bool) {
	return ratio(m.of(bar, key), m.of(bar, m.yardstick(simulation.PolicyOracle, key)), bar.Kind)
}

func (m *matrix) baselineOver(bar *Bar, key cellKey) (float64, bool) {
	return ratio(m.of(bar, m.yardstick(simulation.PolicyBaseline, key)), m.of(bar, key), bar.Kind)
}

func (m *matrix) extra(bar *Bar, key cellKey) (float64, bool) {
	return m.of(bar, key).Extra(), true
}

func (m *matrix) wholeAnswers(bar *Bar, key cellKey) (float64, bool) {
	sent, answered := 0, 0
	for _, class := range m.of(bar, key).Classes {
		if class.Kind == bar.Kind {
			sent += class.Sent
			answered += class.Answered
		}
	}
	return float64(answered) / float64(max(sent, 1)), sent > 0
}

func (m *matrix) violations(_ *Bar, key cellKey) (float64, bool) {
	total := 0
	for _, count := range m.cells[key].Violations {
		total += count
	}
	return float64(total), true
}

func (m *matrix) goodput(bar *Bar, key cellKey) (float64, bool) {
	best := 0.0
	for _, policy := range m.experiment.Policies {
		other := key
		other.policy = policy.Name
		if phase := m.of(bar, other); phase != nil {
			best = max(best, phase.Useful)
		}
	}
	return m.of(bar, key).Useful / best, best > 0
}

func (m *matrix) refusal(bar *Bar, key cellKey) (float64, bool) {
	worst, refused := 0.0, 0
	for _, class := range m.of(bar, key).Classes {
		worst = max(worst, class.RefusalP99)
		refused += class.NotRun
	}
	return worst, refused > 0
}

func (m *matrix) bare(bar *Bar, key cellKey) (float64, bool) {
	total := 0
	for _, class := range m.of(bar, key).Classes {
		total += class.Bare
	}
	return float64(total), true
}

func (m *matrix) recovery(bar *Bar, key cellKey) (float64, bool) {
	return ratio(m.of(bar, key), m.cells[key].Phase(phaseBefore), bar.Kind)
}

// faultyShare uses the leaf of the first fault.
func (m *matrix) faultyShare(bar *Bar, key cellKey) (float64, bool) {
	index := slices.IndexFunc(m.experiment.Scenarios, func(s Scenario) bool { return s.Name == bar.Scenario })
	faults := m.experiment.Scenarios[index].Faults
	leaves := m.cells[key].Leaves
	if len(faults) == 0 {
		return 0, false
	}
	total := 0
	for _, leaf := range leaves {
		total += leaf.Received
	}
	received := leaves[faults[0].Leaf%len(leaves)].Received
	return float64(received*len(leaves)) / float64(max(total, 1)), total > 0
}
