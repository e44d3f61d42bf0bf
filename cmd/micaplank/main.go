// Command micaplank is the query node. It takes callers' queries and
// operators' commands; all nodes of a deployment are alike.
//
// Exit codes: 0 stopped as planned, 1 failed, 2 wrong usage or settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/node"
	"github.com/micaplank/micaplank/internal/settings"
	"github.com/micaplank/micaplank/internal/telemetry"
	"github.com/micaplank/micaplank/internal/version"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// options are the flags that are not settings.
type options struct {
	file  string
	check bool
	print bool
}

func main() {
	os.Exit(run())
}

func run() int {
	chosen, overrides := parse()
	configured, err := settings.Load(chosen.file, overrides...)
	if chosen.print {
		return report(settings.Print(os.Stdout, configured), exitFailed)
	}
	if err != nil {
		return report(err, exitUsage)
	}
	if chosen.check {
		fmt.Println("The settings are valid.")
		return 0
	}
	return report(serve(configured), exitFailed)
}

// parse reads the command line. Wrong flags end the process with exitUsage.
func parse() (options, []settings.Override) {
	var chosen options
	flaggy.SetName("micaplank")
	flaggy.SetDescription("Query node: scatters requests over the leaves of a service and gathers the answers.")
	flaggy.SetVersion(version.Version)
	flaggy.String(&chosen.file, "", "settings", "Settings file (TOML). Flags override it.")
	flaggy.Bool(&chosen.check, "", "check-settings", "Check the settings and exit.")
	flaggy.Bool(&chosen.print, "", "print-settings", "Print the settings with defaults and exit.")
	flags := settings.Flags{}
	flags.Register(&flaggy.DefaultParser.Subcommand)
	flaggy.Parse()
	return chosen, flags.Overrides()
}

func report(err error, code int) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "micaplank:", err)
	return code
}

// serve runs the node until a signal asks for a planned stop.
func serve(configured settings.Settings) error {
	logger := telemetry.NewLogger(os.Stderr, telemetry.LogConfig{
		Format: telemetry.Format(configured.Log.Format),
		Level:  configured.Log.Level,
	}, configured.Name)
	started, err := node.New(configured, telemetry.NewRegistry(version.Version), logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return started.Run(ctx)
}
