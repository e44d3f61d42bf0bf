package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pelletier/go-toml/v2"

	"github.com/micaplank/micaplank/internal/rehearsal/leaf"
	"github.com/micaplank/micaplank/internal/rehearsal/machines"
	"github.com/micaplank/micaplank/internal/rehearsal/store"
)

// leafDrainTimeout limits how long a stopping leaf waits for its requests in flight.
const leafDrainTimeout = 30 * time.Second

// readSettings decodes a TOML file into target, which holds the defaults. Unknown keys are errors.
// An empty path leaves target unchanged.
func readSettings(path string, target any) error {
	if path == "" {
		return nil
	}
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := toml.NewDecoder(file).DisallowUnknownFields().Decode(target); err != nil {
		return fmt.Errorf("read settings %s: %w", path, err)
	}
	return nil
}

// logAddress logs the address on which a fake listens.
func logAddress(logger *slog.Logger, address any) {
	logger.Info("listening", "http", address)
}

// leafCommand runs a fake leaf.
type leafCommand struct {
	settings         string
	listen           string
	service          string
	zone             string
	shards           string
	shardCount       int
	slots            int
	queue            int
	version          int
	seed             int
	medianSelectTime time.Duration
	executionLog     string
}

func (l *leafCommand) declare() *flaggy.Subcommand {
	defaults := leaf.DefaultConfig()
	l.listen = defaults.Listen.String()
	l.slots, l.queue, l.version, l.seed = defaults.Slots, defaults.Queue, 1, 1
	l.medianSelectTime = time.Duration(defaults.Select.Median)
	sub := flaggy.NewSubcommand("leaf")
	sub.Description = "Run a stand-in leaf."
	sub.String(&l.settings, "", "settings", "Settings file (TOML); flags add to it.")
	sub.String(&l.listen, "", "listen", "IP address and port to serve on; port 0 picks a free one.")
	sub.String(&l.service, "", "service", "Service whose data the leaf holds.")
	sub.String(&l.zone, "", "zone", "Zone of the leaf.")
	sub.String(&l.shards, "", "shards", "Shards held, such as 0,1.")
	sub.Int(&l.shardCount, "", "shard-count", "Number of shards of the service.")
	sub.Int(&l.slots, "", "slots", "Requests that run at once.")
	sub.Int(&l.queue, "", "queue", "Requests that may wait.")
	sub.Int(&l.version, "", "version-held", "Index version held at the start.")
	sub.Int(&l.seed, "", "seed", "Seed of the service times.")
	sub.Duration(&l.medianSelectTime, "", "median", "Median service time of a select.")
	sub.String(&l.executionLog, "", "execution-log", "File that gets a line of JSON for each attempt, appended.")
	return sub
}

// config returns the configuration of the leaf. If there is a settings file, the flags for the
// values that it covers are ignored.
func (l *leafCommand) config() (leaf.Config, error) {
	config := leaf.DefaultConfig()
	if err := readSettings(l.settings, &config); err != nil {
		return config, err
	}
	if l.settings != "" {
		return config, nil
	}
	listen, err := netip.ParseAddrPort(l.listen)
	if err != nil {
		return config, fmt.Errorf("--listen: expected an IP address with a port, found %q", l.listen)
	}
	shards, err := parseShards(l.shards)
	if err != nil {
		return config, err
	}
	config.Listen = listen
	config.Service = l.service
	config.Zone = l.zone
	config.Slots = l.slots
	config.Queue = l.queue
	config.Seed = uint64(l.seed)
	config.Select.Median = leaf.Duration(l.medianSelectTime)
	config.Versions = []uint64{uint64(l.version)}
	config.Partitions = []leaf.Partition{{Epoch: 1, Shards: l.shardCount, Hold: shards}}
	return config, nil
}

// parseShards parses a comma-separated list of shard numbers.
func parseShards(text string) ([]int, error) {
	var shards []int
	for _, part := range strings.Split(text, ",") {
		shard, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil {
			return nil, fmt.Errorf("--shards: expected whole numbers with commas between, found %q", text)
		}
		shards = append(shards, shard)
	}
	return shards, nil
}

func (l *leafCommand) run(ctx context.Context, logger *slog.Logger) error {
	config, err := l.config()
	if err != nil {
		return err
	}
	server, err := leaf.Start(config, logger)
	if err != nil {
		return err
	}
	if l.executionLog != "" {
		file, err := os.OpenFile(l.executionLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer file.Close()
		server.LogExecutions(file)
	}
	logAddress(logger, server.Address())
	<-ctx.Done()
	// Requests in flight complete before a planned stop. ctx has ended, so draining needs its own
	// context.
	drainCtx, cancel := context.WithTimeout(context.Background(), leafDrainTimeout)
	defer cancel()
	return server.Drain(drainCtx)
}

// platformStandIn is a running fake of a service of the platform.
type platformStandIn interface {
	Address() string
	Close()
}

// platformCommand runs a fake of a service of the platform.
type platformCommand struct {
	name        string
	description string
	// start starts the server with the settings file, whose values override the defaults.
	start func(listen, settings string, logger *slog.Logger) (platformStandIn, error)

	settings string
	listen   string
}

func newStoreCommand() *platformCommand {
	return &platformCommand{
		name:        "store",
		description: "Run a stand-in of the platform's key-value service.",
		start: func(listen, settings string, logger *slog.Logger) (platformStandIn, error) {
			config := store.Config{Address: listen}
			if err := readSettings(settings, &config); err != nil {
				return nil, err
			}
			return store.Start(config, logger)
		},
	}
}

func newMachinesCommand() *platformCommand {
	return &platformCommand{
		name:        "machines",
		description: "Run a stand-in of the platform's machine list.",
		start: func(listen, settings string, logger *slog.Logger) (platformStandIn, error) {
			config := machines.Config{Address: listen}
			if err := readSettings(settings, &config); err != nil {
				return nil, err
			}
			return machines.Start(config, logger)
		},
	}
}

func (p *platformCommand) declare() *flaggy.Subcommand {
	p.listen = "127.0.0.1:0"
	sub := flaggy.NewSubcommand(p.name)
	sub.Description = p.description
	sub.String(&p.settings, "", "settings", "Settings file (TOML).")
	sub.String(&p.listen, "", "listen", "IP address and port to serve on; port 0 picks a free one.")
	return sub
}

func (p *platformCommand) run(ctx context.Context, logger *slog.Logger) error {
	server, err := p.start(p.listen, p.settings, logger)
	if err != nil {
		return err
	}
	defer server.Close()
	logAddress(logger, server.Address())
	<-ctx.Done()
	return nil
}
