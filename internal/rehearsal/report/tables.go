package report

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/micaplank/micaplank/internal/rehearsal/experiment"
	"github.com/micaplank/micaplank/internal/rehearsal/simulation"
)

// unansweredAbove is the latency in milliseconds from which on a quantile
// stands for queries without a whole answer.
const unansweredAbove = 59_000

func writeHead(page *bytes.Buffer, result *experiment.Result) {
	e := &result.Experiment
	title := e.Title
	if title == "" {
		title = e.Name
	}
	fmt.Fprintf(page, "# %s: simulated tail, coverage and extra load\n\n", title)
	fmt.Fprintf(page, "%d runs: %d scenarios, %d services, %d policies, %d seeds. ",
		len(result.Cells), len(e.Scenarios), len(e.Deployment.Services), len(e.Policies), len(e.Seeds))
	fmt.Fprintf(page, "Figures are the mean over the seeds ± the standard deviation. Latencies are those that clients see, "+
		"in milliseconds; a query without a whole answer counts as 60 s.\n\n")
}

// writeVerdicts writes a table for each judged policy: a row for each bar, a
// column for each service. Figures that miss their bar are bold.
func writeVerdicts(page *bytes.Buffer, result *experiment.Result) {
	for _, policy := range result.Experiment.Policies {
		verdicts := make(map[string][]experiment.Verdict)
		var order []string
		met, total := 0, 0
		for _, verdict := range result.Verdicts {
			if verdict.Policy != policy.Name {
				continue
			}
			total++
			if verdict.Pass {
				met++
			}
			row := verdictRow(verdict.Bar)
			if verdicts[row] == nil {
				order = append(order, row)
			}
			verdicts[row] = append(verdicts[row], verdict)
		}
		if total == 0 {
			continue
		}
		fmt.Fprintf(page, "## Bars: %s\n\n%d of %d are met. Figures that miss their bar are bold; the range over the seeds is in brackets.\n\n", policy.Name, met, total)
		writeVerdictTable(page, result, order, verdicts)
	}
}

// verdictRow is the first cells of a row.
func verdictRow(bar experiment.Bar) string {
	return fmt.Sprintf("| %s | %s | %s |", join(bar.Scenario, bar.Phase), join(string(bar.Measure), string(bar.Kind)), limit(bar))
}

func writeVerdictTable(page *bytes.Buffer, result *experiment.Result, order []string, verdicts map[string][]experiment.Verdict) {
	fmt.Fprint(page, "| scenario | measure | bar |")
	services := result.Experiment.Deployment.Services
	for _, service := range services {
		fmt.Fprintf(page, " %s |", service.Name)
	}
	fmt.Fprintf(page, "\n|---|---|---|%s\n", strings.Repeat("---|", len(services)))
	for _, row := range order {
		fmt.Fprint(page, row)
		for _, service := range services {
			fmt.Fprintf(page, " %s |", verdictCell(verdicts[row], service.Name))
		}
		fmt.Fprintln(page)
	}
	fmt.Fprintln(page)
}

// verdictCell is the figure of one service, or a dash if it has none.
func verdictCell(verdicts []experiment.Verdict, service string) string {
	for _, verdict := range verdicts {
		if verdict.Service != service {
			continue
		}
		figure := verdict.Figure
		text := spread(figure)
		if figure.Least != figure.Most {
			text += fmt.Sprintf(" (%s to %s)", number(figure.Least), number(figure.Most))
		}
		if verdict.Pass {
			return text
		}
		return "**" + text + "**"
	}
	return "–"
}

// join puts a detail behind a name.
func join(name, detail string) string {
	return strings.TrimSuffix(name+", "+detail, ", ")
}

func limit(bar experiment.Bar) string {
	if bar.Most != nil {
		return "≤ " + number(*bar.Most)
	}
	return "≥ " + number(*bar.Least)
}

func spread(figure experiment.Figure) string {
	if figure.Mean > unansweredAbove {
		return "unanswered"
	}
	if figure.Least == figure.Most {
		return number(figure.Mean)
	}
	return number(figure.Mean) + " ± " + number(figure.Deviation)
}

// number writes three significant digits, or whole numbers from 1000 on. What
// is not quite one keeps the digits that show it.
func number(value float64) string {
	if value >= 1000 {
		return fmt.Sprintf("%.0f", value)
	}
	digits := 3
	for value > 0.99 && value < 1 && digits < 9 && math.Round(value*math.Pow10(digits)) == math.Pow10(digits) {
		digits++
	}
	return strconv.FormatFloat(value, 'g', digits, 64)
}

func writeFigure(page *bytes.Buffer, figure Figure) {
	fmt.Fprintf(page, "![%s](%s)\n\n", figure.Title, figure.File)
}

// writeScenarios writes one table for each scenario.
func writeScenarios(page *bytes.Buffer, result *experiment.Result) {
	for _, scenario := range result.Experiment.Scenarios {
		title := scenario.Title
		if scenario.Series != "" {
			title = fmt.Sprintf("%s, load %.2f", title, scenario.Load[0].Level)
		}
		fmt.Fprintf(page, "## %s\n\n%s\n\n", scenario.Name, title)
		fmt.Fprintln(page, "| service | class | policy | p50 | p99 | p99.9 | whole | partial | not run | failed | extra | busy |")
		fmt.Fprintln(page, "|---|---|---|---|---|---|---|---|---|---|---|---|")
		for _, service := range result.Experiment.Deployment.Services {
			writeClasses(page, result, scenario.Name, service)
		}
		fmt.Fprintln(page)
	}
}

func writeClasses(page *bytes.Buffer, result *experiment.Result, scenario string, service simulation.Service) {
	for index, class := range service.Classes {
		for _, policy := range result.Experiment.Policies {
			phases := phasesOf(result, scenario, service.Name, policy.Name)
			if len(phases) == 0 {
				continue
			}
			writeClass(page, phases, index, []string{service.Name, class.Name, policy.Name})
		}
	}
}

// phasesOf lists the whole measured time of a cell's runs.
func phasesOf(result *experiment.Result, scenario, service, policy string) []*simulation.PhaseResult {
	var phases []*simulation.PhaseResult
	for i := range result.Cells {
		cell := &result.Cells[i]
		if cell.Scenario == scenario && cell.Service == service && cell.Policy == policy {
			phases = append(phases, cell.Phase(simulation.PhaseAll))
		}
	}
	return phases
}

func writeClass(page *bytes.Buffer, phases []*simulation.PhaseResult, index int, names []string) {
	columns := names
	for _, quantile := range []float64{0.5, 0.99, 0.999} {
		columns = append(columns, spread(over(phases, func(p *simulation.PhaseResult) float64 {
			return p.Classes[index].Quantile(quantile)
		})))
	}
	counts := []func(*simulation.ClassResult) int{
		func(c *simulation.ClassResult) int { return c.Answered },
		func(c *simulation.ClassResult) int { return c.Partial },
		func(c *simulation.ClassResult) int { return c.NotRun },
		func(c *simulation.ClassResult) int { return c.Failed + c.Unknown },
	}
	for _, count := range counts {
		columns = append(columns, share(phases, index, count))
	}
	extra := over(phases, func(p *simulation.PhaseResult) float64 { return 100 * p.Extra() })
	busy := over(phases, func(p *simulation.PhaseResult) float64 { return 100 * p.Busy })
	columns = append(columns, fmt.Sprintf("%.2f %%", extra.Mean), fmt.Sprintf("%.0f %%", busy.Mean))
	fmt.Fprintf(page, "| %s |\n", strings.Join(columns, " | "))
}

// over sums up a value of each phase.
func over(phases []*simulation.PhaseResult, value func(*simulation.PhaseResult) float64) experiment.Figure {
	values := make([]float64, len(phases))
	for i, phase := range phases {
		values[i] = value(phase)
	}
	return experiment.NewFigure(values)
}

// share writes the share of a class's queries that a count stands for. Only
// all is 100 %, and only none is 0.
func share(phases []*simulation.PhaseResult, index int, count func(*simulation.ClassResult) int) string {
	sent, counted := 0, 0
	for _, phase := range phases {
		sent += phase.Classes[index].Sent
		counted += count(&phase.Classes[index])
	}
	switch {
	case counted == 0:
		return "0"
	case counted == sent:
		return "100 %"
	}
	return fmt.Sprintf("%d of %d", counted, sent)
}
