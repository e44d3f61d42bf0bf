// Command micarehearse is the rehearsal kit of the self-hosted deployment:
// stand-ins of the store, the machine list and the leaves, whole deployments on
// loopback, and a load tool. It is never run beside callers.
//
// Exit codes: 0 done, 1 failed, 2 wrong usage.
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

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand: its flags and what it does.
type command interface {
	// declare returns the subcommand and its flags.
	declare() *flaggy.Subcommand
	// run does the work; it ends when ctx ends.
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

// execute parses the arguments and runs the chosen subcommand.
func execute(ctx context.Context, list []command) int {
	flaggy.SetName("micarehearse")
	flaggy.SetDescription("Stand-ins, deployments on loopback and load for micaplank.")
	flaggy.SetVersion(version.Version)
	subcommands := make([]*flaggy.Subcommand, len(list))
	for i, command := range list {
		subcommands[i] = command.declare()
		flaggy.AttachSubcommand(subcommands[i], 1)
	}
	flaggy.Parse()
	logger := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	for i, command := range list {
		if subcommands[i].Used {
			return exitCode(command.run(ctx, logger))
		}
	}
	flaggy.ShowHelp("Name a subcommand.")
	return exitUsage
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "micarehearse:", err)
	return exitFailed
}
