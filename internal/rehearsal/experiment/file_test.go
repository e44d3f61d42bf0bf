package experiment_test

import (
	"context"
	"flag"
	"os"
	"testing"

	"github.com/micaplank/micaplank/internal/rehearsal/experiment"
	"github.com/micaplank/micaplank/internal/rehearsal/report"
	"github.com/micaplank/micaplank/internal/rehearsal/simulation"
)

var (
	file     = flag.String("file", "", "experiment file to run")
	scenario = flag.String("scenario", "", "run only this scenario of the file")
	service  = flag.String("service", "", "run only this service of the file")
	seeds    = flag.Int("seeds", 0, "run only the first seeds of the file")
	out      = flag.String("out", "", "directory for the result and the report")
)

// TestFile runs an experiment file, or a part of it, and logs the verdicts. A
// figure that misses its bar is logged, not an error: figures are for reading.
// A broken promise is an error.
func TestFile(t *testing.T) {
	if *file == "" {
		t.Skip("no -file given")
	}
	loaded, err := experiment.Load(*file)
	if err != nil {
		t.Fatal(err)
	}
	result, err := experiment.Run(context.Background(), loaded.Only(*scenario, *service, *seeds), os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	if *out != "" {
		if err := report.Write(*out, result); err != nil {
			t.Fatal(err)
		}
	}
	for _, verdict := range result.Verdicts {
		t.Log(verdict.String())
	}
	logClasses(t, result)
}

// logClasses logs p50 and p99 of each class, for the first seed.
func logClasses(t *testing.T, result experiment.Result) {
	for _, cell := range result.Cells {
		if len(cell.Violations) > 0 {
			t.Errorf("%s %s %s seed %d: %v %v", cell.Scenario, cell.Service, cell.Policy, cell.Seed, cell.Violations, cell.Examples)
		}
		if cell.Seed != result.Experiment.Seeds[0] {
			continue
		}
		phase := cell.Phase(simulation.PhaseAll)
		for _, class := range phase.Classes {
			t.Logf("%-20s %-15s %-9s %-14s sent %6d answered %6d partial %3d not_run %5d failed %3d unknown %2d p50 %7.1f p99 %8.1f p99.9 %8.1f extra %.4f busy %.3f useful %.3f",
				cell.Scenario, cell.Service, cell.Policy, class.Class, class.Sent, class.Answered, class.Partial, class.NotRun, class.Failed, class.Unknown,
				class.Quantile(0.5), class.Quantile(0.99), class.Quantile(0.999), phase.Extra(), phase.Busy, phase.Useful)
		}
	}
}
