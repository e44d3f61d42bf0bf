package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/rehearsal/load"
	"github.com/micaplank/micaplank/internal/settings"
)

// outputFileMode is the mode of a new result file.
const outputFileMode = 0o644

// writeJSON writes a result to a file, or to standard output if path is empty.
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
	return os.WriteFile(path, encoded, outputFileMode)
}

// loadCommand generates load on running nodes.
type loadCommand struct {
	loadFile   string
	targets    []string
	rate       float64
	duration   time.Duration
	resultFile string
}

func (l *loadCommand) declare() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("load")
	sub.Description = "Send queries to running nodes at a fixed rate; the result is JSON."
	sub.AddPositionalValue(&l.loadFile, "FILE", 1, true, "Load (TOML), such as experiments/load/demo.toml.")
	sub.StringSlice(&l.targets, "", "target", "Node, such as http://127.0.0.1:7201; may be repeated.")
	sub.Float64(&l.rate, "", "rate", "Requests a second.")
	sub.Duration(&l.duration, "", "duration", "How long requests are sent.")
	sub.String(&l.resultFile, "o", "output", "File for the result; standard output unless given.")
	return sub
}

func (l *loadCommand) run(ctx context.Context, _ *slog.Logger) error {
	config, err := load.ReadConfig(l.loadFile)
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
	return writeJSON(l.resultFile, result)
}
