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
type programFlags struct {
	settingsFile  string
	checkSettings bool
	printSettings bool
	// profile is a file for a processor profile of the whole run.
	cpuProfile string
}

func main() {
	os.Exit(run())
}

func run() int {
	flags, overrides := parseArguments()
	config, err := settings.Load(flags.settingsFile, overrides...)
	if flags.printSettings && flags.settingsFile == "" && len(overrides) == 0 {
		config, err = settings.Defaults(), nil
	}
	if err != nil {
		return exitCode(err, exitUsage)
	}
	if flags.printSettings {
		return exitCode(settings.Print(os.Stdout, config), exitFailed)
	}
	if flags.checkSettings {
		fmt.Println("The settings are valid.")
		return 0
	}
	stopProfile, err := startProfile(flags.cpuProfile)
	if err != nil {
		return exitCode(err, exitFailed)
	}
	defer stopProfile()
	return exitCode(serve(config), exitFailed)
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
func parseArguments() (programFlags, []settings.Override) {
	var flags programFlags
	flaggy.SetName("micaplank")
	flaggy.SetDescription("Query node: scatters requests over the leaves of a service and gathers the answers.")
	flaggy.SetVersion(version.Version)
	flaggy.String(&flags.settingsFile, "", "settings", "Settings file (TOML). Flags override it.")
	flaggy.Bool(&flags.checkSettings, "", "check-settings", "Check the settings and exit.")
	flaggy.Bool(&flags.printSettings, "", "print-settings", "Print the settings with defaults and exit.")
	flaggy.String(&flags.cpuProfile, "", "cpu-profile", "File for a processor profile of the whole run (pprof).")
	settingsFlags := settings.Flags{}
	settingsFlags.Register(&flaggy.DefaultParser.Subcommand)
	flaggy.Parse()
	return flags, settingsFlags.Overrides()
}

func exitCode(err error, code int) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "micaplank:", err)
	return code
}

// serve runs the node until a signal asks for a planned stop.
func serve(config settings.Settings) error {
	logger := telemetry.NewLogger(os.Stderr, telemetry.LogConfig{
		Format: telemetry.Format(config.Log.Format),
		Level:  config.Log.Level,
	}, config.Name)
	server, err := node.New(config, telemetry.NewRegistry(version.Version), logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return server.Run(ctx)
}
