package main

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
	"github.com/micaplank/micaplank/internal/selfhosted/operator"
)

// defaultWatchInterval is the default interval at which the watch command shows the status.
const defaultWatchInterval = 2 * time.Second

// stdinName is the file name that selects standard input.
const stdinName = "-"

func newSubcommand(name, description string) *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	return subcommand
}

// readStatements reads a file or standard input. It reads at most one byte more than the language
// allows, so that a file that is too long is detected when it is parsed.
func readStatements(name string) (string, error) {
	var reader io.Reader = os.Stdin
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return "", err
		}
		defer file.Close()
		reader = file
	}
	text, err := io.ReadAll(io.LimitReader(reader, language.MaximumFileBytes+1))
	return string(text), err
}

// sourceName returns the name of a file for error messages.
func sourceName(file string) string {
	if file == stdinName {
		return "standard input"
	}
	return file
}

type execCommand struct {
	statement string
	file      string
	dryRun    bool
	changeID  string
}

func (c *execCommand) declare() *flaggy.Subcommand {
	subcommand := newSubcommand("exec", "Run statements and wait until each change is in force.")
	subcommand.AddPositionalValue(&c.statement, "STATEMENT", 1, false, "The statements, separated by semicolons. Default: standard input.")
	subcommand.String(&c.file, "f", "file", "Read the statements from this file; - is standard input.")
	subcommand.Bool(&c.dryRun, "d", "dry-run", "Ask only whether the changes would be valid.")
	subcommand.String(&c.changeID, "", "change-id", "Make the change under this id: it takes effect at most once.")
	return subcommand
}

func (c *execCommand) run(ctx context.Context, session *operator.Session) error {
	options := operator.ExecOptions{Source: "statement", DryRun: c.dryRun, ChangeID: c.changeID}
	if c.statement != "" && c.file != "" {
		return &operator.UsageError{Message: "give a statement or --file, not both"}
	}
	if c.statement != "" {
		return session.Exec(ctx, c.statement, options)
	}
	if c.file == "" {
		c.file = stdinName
	}
	text, err := readStatements(c.file)
	if err != nil {
		return err
	}
	options.Source = sourceName(c.file)
	return session.Exec(ctx, text, options)
}

type applyCommand struct {
	file   string
	dryRun bool
}

func (c *applyCommand) declare() *flaggy.Subcommand {
	subcommand := newSubcommand("apply", "Show what a file of changes would change, and make the changes that are not yet so.")
	subcommand.AddPositionalValue(&c.file, "FILE", 1, true, "The file; - is standard input.")
	subcommand.Bool(&c.dryRun, "d", "dry-run", "Only show the difference.")
	return subcommand
}

func (c *applyCommand) run(ctx context.Context, session *operator.Session) error {
	text, err := readStatements(c.file)
	if err != nil {
		return err
	}
	return session.Apply(ctx, sourceName(c.file), text, c.dryRun)
}

type showCommand struct {
	words [3]string
}

func (c *showCommand) declare() *flaggy.Subcommand {
	subcommand := newSubcommand("show", "Show services, leaves [of SERVICE], classes [of SERVICE], changes, voters or nodes.")
	subcommand.AddPositionalValue(&c.words[0], "SUBJECT", 1, true, "What to show.")
	subcommand.AddPositionalValue(&c.words[1], "of", 2, false, "The word \"of\".")
	subcommand.AddPositionalValue(&c.words[2], "SERVICE", 3, false, "Of which service.")
	return subcommand
}

func (c *showCommand) run(ctx context.Context, session *operator.Session) error {
	text := "show " + strings.TrimSpace(strings.Join(c.words[:], " "))
	return session.Exec(ctx, text, operator.ExecOptions{Source: "statement"})
}

type statusCommand struct{}

func (c *statusCommand) declare() *flaggy.Subcommand {
	return newSubcommand("status", "Show nodes, services and leaves, and where the newest revision is in force.")
}

func (c *statusCommand) run(ctx context.Context, session *operator.Session) error {
	return session.Status(ctx)
}

type watchCommand struct {
	interval time.Duration
	count    int
}

func (c *watchCommand) declare() *flaggy.Subcommand {
	subcommand := newSubcommand("watch", "Show the status again and again.")
	subcommand.Duration(&c.interval, "i", "interval", "Time between two.")
	subcommand.Int(&c.count, "c", "count", "How many times; 0 until interrupted.")
	return subcommand
}

func (c *watchCommand) run(ctx context.Context, session *operator.Session) error {
	return session.Watch(ctx, c.interval, c.count)
}

type changeCommand struct {
	id string
}

func (c *changeCommand) declare() *flaggy.Subcommand {
	subcommand := newSubcommand("change", "Ask for the fate of an earlier change.")
	subcommand.AddPositionalValue(&c.id, "ID", 1, true, "The id of the change.")
	return subcommand
}

func (c *changeCommand) run(ctx context.Context, session *operator.Session) error {
	return session.Change(ctx, c.id)
}

type drainCommand struct {
	node string
}

func (c *drainCommand) declare() *flaggy.Subcommand {
	subcommand := newSubcommand("drain", "Stop a node as planned: it takes no new work and finishes what is in flight.")
	subcommand.AddPositionalValue(&c.node, "NODE", 1, true, "The name of the node.")
	return subcommand
}

func (c *drainCommand) run(ctx context.Context, session *operator.Session) error {
	return session.Drain(ctx, c.node)
}

type queryCommand struct {
	service         string
	request         api.QueryRequest
	deadline        time.Duration
	minimumCoverage float64
}

// classDefaultCoverage is the flag value that selects the minimum coverage of the class.
const classDefaultCoverage = -1

func (c *queryCommand) declare() *flaggy.Subcommand {
	c.minimumCoverage = classDefaultCoverage
	subcommand := newSubcommand("query", "Run a select or insert on a service.")
	subcommand.AddPositionalValue(&c.service, "SERVICE", 1, true, "The service.")
	subcommand.AddPositionalValue(&c.request.Statement, "STATEMENT", 2, true, "The select or insert.")
	subcommand.String(&c.request.Class, "c", "class", "The class of the request.")
	subcommand.Duration(&c.deadline, "", "deadline", "How long the caller waits; 0s is the deadline of the class.")
	subcommand.Float64(&c.minimumCoverage, "", "minimum-coverage", "Least share of shards, from 0 to 1; -1 is that of the class.")
	subcommand.String(&c.request.RequestID, "", "request-id", "The id of the request. Default: a new one.")
	return subcommand
}

func (c *queryCommand) run(ctx context.Context, session *operator.Session) error {
	if c.request.Class == "" {
		return &operator.UsageError{Message: "name the class with --class"}
	}
	c.request.DeadlineMilliseconds = c.deadline.Milliseconds()
	if c.minimumCoverage != classDefaultCoverage {
		c.request.MinimumCoverage = &c.minimumCoverage
	}
	return session.Query(ctx, c.service, c.request)
}
