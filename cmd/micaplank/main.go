// Command micaplank is the query node. It takes callers' queries and
// operators' commands; all nodes of a deployment are alike.
//
// Exit codes: 0 stopped as planned, 1 failed, 2 wrong usage or settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/selfhosted/node"
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
	// profile is a file for a processor profile of the whole run.
	profile string
}

func main() {
	os.Exit(run())
}

func run() int {
	chosen, overrides := parse()
	configured, err := settings.Load(chosen.file, overrides...)
	if chosen.print && chosen.file == "" && len(overrides) == 0 {
		configured, err = settings.Defaults(), nil
	}
	if err != nil {
		return report(err, exitUsage)
	}
	if chosen.print {
		return report(settings.Print(os.Stdout, configured), exitFailed)
	}
	if chosen.check {
		fmt.Println("The settings are valid.")
		return 0
	}
	stopProfile, err := startProfile(chosen.profile)
	if err != nil {
		return report(err, exitFailed)
	}
	defer stopProfile()
	return report(serve(configured), exitFailed)
}

// startProfile writes a processor profile to a file until the function that it
// returns is called. An empty path profiles nothing.
func startProfile(path string) (func(), error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close() // the profile is only an aid
	}, nil
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
	flaggy.String(&chosen.profile, "", "cpu-profile", "File for a processor profile of the whole run (pprof).")
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
