// Command micaplank runs a query node. A node serves the queries of clients and the commands of
// operators. All nodes of a deployment have the same role.
//
// The exit code is 0 after a planned stop, 1 after a failure, and 2 for wrong usage or invalid
// settings.
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

// Exit codes of failures.
const (
	exitFailed = 1
	exitUsage  = 2
)

// programFlags are the command-line flags that are not settings.
type programFlags struct {
	settingsFile  string
	checkSettings bool
	printSettings bool
	// cpuProfile is the path of the file for a CPU profile of the whole run.
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

// startProfile starts a CPU profile that is written to path, and returns the function that stops
// it. If path is empty, nothing is profiled.
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
		_ = file.Close() // a lost profile must not change the exit code
	}, nil
}

// parseArguments parses the command line. For invalid flags it exits the process with exitUsage.
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

// exitCode prints an error to standard error and returns code, or returns 0 if err is nil.
func exitCode(err error, code int) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "micaplank:", err)
	return code
}

// serve runs the node until SIGINT or SIGTERM requests a planned stop.
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
