package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/rehearsal/simulation"
)

// committed is where the experiment files of the repository are.
const committed = "../../../experiments"

func TestCommittedFilesLoad(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(committed, "*.toml"))
	if err != nil || len(paths) < 2 {
		t.Fatalf("%v %v", paths, err)
	}
	for _, path := range paths {
		if _, err := Load(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func readCommitted(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(committed, "saigon.toml"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestLoadIsStrict(t *testing.T) {
	cases := map[string]string{
		"unknown key":   "name = \"x\"\nspeed = 1\n",
		"missing parts": "name = \"x\"\n",
		"unknown fault": strings.Replace(readCommitted(t), `kind = "slow"`, `kind = "sleepy"`, 1),
		"bad duration":  "[deployment.network]\nclients = \"fast\"\n",
	}
	for name, text := range cases {
		if _, err := parse([]byte(text)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestSettingsOverrideDefaults(t *testing.T) {
	config := dispatch.DefaultConfig()
	settings := map[string]any{
		"policy": "random", "review": "7ms", "maximum_sends": int64(3),
		"hedge": map[string]any{"disabled": true, "outstanding": 0.5},
	}
	if err := applySettings(&config, settings); err != nil {
		t.Fatal(err)
	}
	if config.Policy != "random" || config.Review != 7*time.Millisecond || config.MaximumSends != 3 || !config.Hedge.Disabled || config.Hedge.Outstanding != 0.5 {
		t.Errorf("%+v", config)
	}
	for _, wrong := range []map[string]any{{"no_such": 1}, {"review": 5}, {"hedge": map[string]any{"samples": "x"}}} {
		if err := applySettings(&config, wrong); err == nil {
			t.Errorf("%v: accepted", wrong)
		}
	}
}

// TestRunJudges runs one short scenario of a committed file, one seed.
func TestRunJudges(t *testing.T) {
	experiment, err := Load(filepath.Join(committed, "saigon.toml"))
	if err != nil {
		t.Fatal(err)
	}
	experiment.Seeds = []uint64{1}
	experiment.Deployment.Services = experiment.Deployment.Services[3:]
	experiment.Scenarios = experiment.Scenarios[:1]
	experiment.Policies = experiment.Policies[:4]
	experiment.Scenarios[0].Duration = simulation.Duration(14 * time.Second)
	var progress bytes.Buffer
	result, err := Run(context.Background(), experiment, &progress)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Cells) != len(experiment.Policies) || len(result.Verdicts) == 0 || !strings.Contains(progress.String(), "4 of 4") {
		t.Fatalf("%d cells, %d verdicts, progress %q", len(result.Cells), len(result.Verdicts), progress.String())
	}
	for _, verdict := range result.Verdicts {
		if verdict.Bar.Measure == MeasureViolations && !verdict.Pass {
			t.Errorf("%+v", verdict)
		}
	}
}

func TestFigure(t *testing.T) {
	figure := NewFigure([]float64{1, 2, 3})
	if figure.Mean != 2 || figure.Deviation != 1 || figure.Least != 1 || figure.Most != 3 {
		t.Errorf("%+v", figure)
	}
	if ones := NewFigure([]float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}); ones.Mean != 1 || ones.Deviation != 0 {
		t.Errorf("ten ones: %+v", ones)
	}
	most := 2.0
	if bar := (Bar{Most: &most}); !bar.meets(figure) || bar.meets(NewFigure([]float64{3})) {
		t.Error("the bar is judged wrongly")
	}
}
