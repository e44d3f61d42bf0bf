// Command micarehearse provides tools for testing self-hosted deployments: fakes of the
// store, the machine list and the leaves, whole deployments on loopback, and a load generator. It
// must not be used in production.
//
// The exit code is 0 on success, 1 after a failure, and 2 for wrong usage.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/version"
)

// Exit codes of failures.
const (
	exitFailed = 1
	exitUsage  = 2
)

// command is a subcommand of micarehearse.
type command interface {
	// declare returns the subcommand and its flags.
	declare() *flaggy.Subcommand
	// run executes the subcommand until it is done or ctx ends.
	run(ctx context.Context, logger *slog.Logger) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, commands()))
}

func commands() []command {
	return []command{
		&leafCommand{},
		newStoreCommand(),
		newMachinesCommand(),
		&demoCommand{},
		&clusterCommand{},
		&loadCommand{},
	}
}

// execute parses the arguments, runs the selected subcommand and returns the exit code.
func execute(ctx context.Context, list []command) int {
	flaggy.SetName("micarehearse")
	flaggy.SetDescription("Stand-ins, deployments on loopback and load for micaplank.")
	flaggy.SetVersion(version.Version)
	subcommands := make([]*flaggy.Subcommand, len(list))
	for i, cmd := range list {
		subcommands[i] = cmd.declare()
		flaggy.AttachSubcommand(subcommands[i], 1)
	}
	flaggy.Parse()
	logger := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	for i, cmd := range list {
		if subcommands[i].Used {
			return exitCode(cmd.run(ctx, logger))
		}
	}
	flaggy.ShowHelp("Name a subcommand.")
	return exitUsage
}

// exitCode prints an error to standard error and returns the exit code for it.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "micarehearse:", err)
	return exitFailed
}
