package report

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/micaplank/micaplank/internal/rehearsal/experiment"
	"github.com/micaplank/micaplank/internal/rehearsal/simulation"
)

// testResult is a small result with one service, two seeds and a series.
func testResult() experiment.Result {
	most, least := 1.1, 4.0
	scenarios := []experiment.Scenario{
		{Scenario: simulation.Scenario{Name: "quiet", Title: "no fault"}},
		{Scenario: simulation.Scenario{Name: "load-0.50", Title: "rising load", Load: []simulation.LoadStep{{Level: 0.5}}}, Series: "load"},
		{Scenario: simulation.Scenario{Name: "load-0.70", Title: "rising load", Load: []simulation.LoadStep{{Level: 0.7}}}, Series: "load"},
	}
	result := experiment.Result{Experiment: experiment.Experiment{
		Name: "test", Title: "Test site", Seeds: []uint64{1, 2}, Scenarios: scenarios,
		Deployment: simulation.Deployment{Services: []simulation.Service{{
			Name: "rate-desk", Classes: []simulation.Class{{Name: "spot-check", Kind: simulation.KindCheck}},
		}}},
		Policies: []experiment.Policy{
			{Name: "dispatch", Kind: simulation.PolicyDispatch},
			{Name: "no-hedge", Kind: simulation.PolicyDispatch},
			{Name: "baseline", Kind: simulation.PolicyBaseline},
		},
	}}
	for number, scenario := range scenarios {
		for place, policy := range result.Experiment.Policies {
			for seed := range 2 {
				result.Cells = append(result.Cells, testCell(scenario.Name, policy.Name, uint64(seed+1), float64(1+number+2*place+seed)))
			}
		}
	}
	result.Verdicts = []experiment.Verdict{
		{Bar: experiment.Bar{Measure: experiment.MeasureOverOracle, Scenario: "quiet", Kind: simulation.KindCheck, Most: &most}, Service: "rate-desk", Policy: "dispatch", Figure: experiment.NewFigure([]float64{1, 1.1}), Pass: true},
		{Bar: experiment.Bar{Measure: experiment.MeasureBaselineOver, Scenario: "quiet", Phase: "lost", Least: &least}, Service: "rate-desk", Policy: "dispatch", Figure: experiment.NewFigure([]float64{3, 4})},
	}
	return result
}

func testCell(scenario, policy string, seed uint64, stretch float64) simulation.Result {
	class := simulation.ClassResult{Class: "spot-check", Kind: simulation.KindCheck, Sent: 100, Answered: 99, NotRun: 1}
	for _, point := range simulation.QuantilePoints {
		class.Latency = append(class.Latency, stretch*(10+10*point))
	}
	phase := simulation.PhaseResult{
		Name: simulation.PhaseAll, Classes: []simulation.ClassResult{class},
		Sends: 800 + int(stretch), Needed: 800, Busy: 0.4, Useful: 0.39,
	}
	return simulation.Result{Scenario: scenario, Service: "rate-desk", Policy: policy, Seed: seed, Phases: []simulation.PhaseResult{phase}}
}

func TestPage(t *testing.T) {
	result := testResult()
	page := Page(&result, []Figure{{Title: "a plot", File: "plot.svg"}})
	goldie.New(t).Assert(t, "page", page)
}

func TestWriteAndRead(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "out")
	result := testResult()
	if err := Write(directory, result); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{PageFile, "latency-quiet.svg", "extra-quiet.svg", "tail-over-load.svg"} {
		if info, err := os.Stat(filepath.Join(directory, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	read, err := Read(directory)
	if err != nil || !reflect.DeepEqual(read, result) {
		t.Errorf("read back something else: %v", err)
	}
}

func TestNumber(t *testing.T) {
	cases := map[float64]string{1: "1", 0.999: "0.999", 0.99996: "0.99996", 0.98765: "0.988", 1.0512: "1.05", 0: "0", 60031.4: "60031"}
	for value, want := range cases {
		if got := number(value); got != want {
			t.Errorf("%g: %s, want %s", value, got, want)
		}
	}
}
