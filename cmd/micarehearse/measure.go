package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/rehearsal/experiment"
	"github.com/micaplank/micaplank/internal/rehearsal/load"
	"github.com/micaplank/micaplank/internal/rehearsal/report"
	"github.com/micaplank/micaplank/internal/settings"
)

const outputMode = 0o644

// writeJSON writes a result to a file, or to standard output if the path is
// empty.
func writeJSON(path string, result any) error {
	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	encoded = append(encoded, '\n')
	if path == "" {
		_, err = os.Stdout.Write(encoded)
		return err
	}
	return os.WriteFile(path, encoded, outputMode)
}

// experimentCommand runs a matrix of simulations and writes a report.
type experimentCommand struct {
	file   string
	output string
}

func (e *experimentCommand) attach() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("experiment")
	sub.Description = "Run a matrix of simulations and write a report with plots."
	sub.AddPositionalValue(&e.file, "FILE", 1, true, "Experiment (TOML), such as experiments/saigon.toml.")
	sub.String(&e.output, "o", "output", "Folder of the report; out/NAME unless given.")
	return sub
}

func (e *experimentCommand) run(ctx context.Context, _ *slog.Logger) error {
	loaded, err := experiment.Load(e.file)
	if err != nil {
		return err
	}
	result, err := experiment.Run(ctx, loaded, os.Stderr)
	if err != nil {
		return err
	}
	if e.output == "" {
		e.output = "out/" + loaded.Name
	}
	if err := report.Write(e.output, result); err != nil {
		return err
	}
	fmt.Println("The report is in", e.output)
	return nil
}

// simulateCommand runs single cells of an experiment.
type simulateCommand struct {
	file      string
	scenarios []string
	policies  []string
	seed      int
	output    string
}

func (s *simulateCommand) attach() *flaggy.Subcommand {
	s.seed = 1
	sub := flaggy.NewSubcommand("simulate")
	sub.Description = "Simulate chosen scenarios of an experiment with one seed; the result is JSON."
	sub.AddPositionalValue(&s.file, "FILE", 1, true, "Experiment (TOML).")
	sub.StringSlice(&s.scenarios, "", "scenario", "Scenario; may be repeated. All unless given.")
	sub.StringSlice(&s.policies, "", "policy", "Policy; may be repeated. All unless given.")
	sub.Int(&s.seed, "", "seed", "Seed.")
	sub.String(&s.output, "o", "output", "File for the result; standard output unless given.")
	return sub
}

func (s *simulateCommand) run(ctx context.Context, _ *slog.Logger) error {
	loaded, err := experiment.Load(s.file)
	if err != nil {
		return err
	}
	loaded.Seeds = []uint64{uint64(s.seed)}
	loaded.Scenarios = slices.DeleteFunc(loaded.Scenarios, func(scenario experiment.Scenario) bool {
		return !chosen(s.scenarios, scenario.Name)
	})
	loaded.Policies = slices.DeleteFunc(loaded.Policies, func(policy experiment.Policy) bool {
		return !chosen(s.policies, policy.Name)
	})
	if len(loaded.Scenarios) == 0 || len(loaded.Policies) == 0 {
		return fmt.Errorf("%s has no such scenario or policy", s.file)
	}
	result, err := experiment.Run(ctx, loaded, os.Stderr)
	if err != nil {
		return err
	}
	return writeJSON(s.output, result)
}

// chosen reports whether a name is wanted; an empty list wants all.
func chosen(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

// loadCommand sends queries to running nodes.
type loadCommand struct {
	file     string
	targets  []string
	rate     float64
	duration time.Duration
	output   string
}

func (l *loadCommand) attach() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("load")
	sub.Description = "Send queries to running nodes at a fixed rate; the result is JSON."
	sub.AddPositionalValue(&l.file, "FILE", 1, true, "Load (TOML), such as experiments/load/demo.toml.")
	sub.StringSlice(&l.targets, "", "target", "Node, such as http://127.0.0.1:7201; may be repeated.")
	sub.Float64(&l.rate, "", "rate", "Requests a second.")
	sub.Duration(&l.duration, "", "duration", "How long requests are sent.")
	sub.String(&l.output, "o", "output", "File for the result; standard output unless given.")
	return sub
}

func (l *loadCommand) run(ctx context.Context, _ *slog.Logger) error {
	config, err := load.Load(l.file)
	if err != nil {
		return err
	}
	if len(l.targets) > 0 {
		config.Targets = l.targets
	}
	if l.rate > 0 {
		config.Rate = l.rate
	}
	if l.duration > 0 {
		config.Duration = settings.Duration(l.duration)
	}
	result, err := load.Run(ctx, config, os.Stderr)
	if err != nil {
		return err
	}
	return writeJSON(l.output, result)
}
