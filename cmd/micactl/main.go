// Command micactl is the command-line client for operators. It sends statements of the command
// language to a node, waits until changes are in force, runs queries, shows the state of the
// deployment, and evaluates the logs of nodes.
//
// The exit code is 0 on success, 1 if the command failed, was not accepted or has an unknown
// result, and 2 for wrong usage.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/selfhosted/operator"
	"github.com/micaplank/micaplank/internal/version"
)

const (
	// nodesVariable is the environment variable that lists the nodes if --node is not given.
	nodesVariable = "MICAPLANK_NODES"
	// defaultNode is used if neither --node nor nodesVariable is set.
	defaultNode = "127.0.0.1:7201"
	// defaultTimeout is the default of --timeout.
	defaultTimeout = 10 * time.Second
)

// globalFlags are the flags that all commands share.
type globalFlags struct {
	nodes    []string
	output   string
	timeout  time.Duration
	operator string
}

// command is a subcommand of micactl.
type command interface {
	// declare returns the subcommand with its flags and arguments.
	declare() *flaggy.Subcommand
	// run executes the subcommand after its flags and arguments were parsed.
	run(ctx context.Context, session *operator.Session) error
}

func commands() []command {
	return []command{
		&execCommand{},
		&applyCommand{},
		&showCommand{},
		&statusCommand{},
		&watchCommand{interval: defaultWatchInterval},
		&changeCommand{},
		&drainCommand{},
		&queryCommand{},
		&explainCommand{},
		&lossesCommand{},
		&rolloutsCommand{},
		&completionCommand{},
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "micactl:", err)
	}
	os.Exit(operator.ExitCode(err))
}

// run parses the arguments and runs the selected command. For --help, --version and unknown
// arguments, the flag library exits the process itself.
func run(ctx context.Context, arguments []string) error {
	flags := globalFlags{output: string(operator.FormatText), timeout: defaultTimeout, operator: os.Getenv("USER")}
	parser := newParser(&flags)
	list := commands()
	subcommands := make([]*flaggy.Subcommand, len(list))
	for i, cmd := range list {
		subcommands[i] = cmd.declare()
		parser.AttachSubcommand(subcommands[i], 1)
		if completion, ok := cmd.(*completionCommand); ok {
			completion.root = &parser.Subcommand
		}
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return &operator.UsageError{Message: "wrong value of a flag: " + err.Error()}
	}
	for i, cmd := range list {
		if !subcommands[i].Used {
			continue
		}
		session, err := newSession(flags)
		if err != nil {
			return err
		}
		return session.Finish(cmd.run(ctx, session))
	}
	parser.ShowHelp()
	return &operator.UsageError{Message: "name a command"}
}

func newParser(flags *globalFlags) *flaggy.Parser {
	parser := flaggy.NewParser("micactl")
	parser.Description = "Operates micaplank: runs statements, shows state, runs queries."
	parser.Version = version.Version
	parser.ShowCompletion = false // replaced by completionCommand
	parser.AdditionalHelpAppend = "Exit codes: 0 done, 1 failed, not accepted or not known, 2 wrong usage."
	parser.StringSlice(&flags.nodes, "n", "node", "Address of a node; may be repeated or a comma list; the next is tried if one cannot be reached. Default: $"+nodesVariable+" or "+defaultNode+".")
	parser.String(&flags.output, "o", "output", "Output format: text or json.")
	parser.Duration(&flags.timeout, "t", "timeout", "How long to wait for a result.")
	parser.String(&flags.operator, "", "operator", "Name for the log of changes.")
	return parser
}

// newSession returns a session for the nodes from --node, the environment or the default.
func newSession(flags globalFlags) (*operator.Session, error) {
	addresses := flags.nodes
	if len(addresses) == 0 {
		addresses = []string{os.Getenv(nodesVariable)}
	}
	if len(addresses) == 1 && addresses[0] == "" {
		addresses = []string{defaultNode}
	}
	nodes, err := operator.ParseNodes(addresses)
	if err != nil {
		return nil, err
	}
	format, err := operator.ParseFormat(flags.output)
	if err != nil {
		return nil, err
	}
	if flags.timeout < time.Millisecond {
		return nil, &operator.UsageError{Message: "--timeout must be at least 1ms"}
	}
	return &operator.Session{
		Client:  operator.NewClient(nodes, flags.timeout, flags.operator),
		Output:  os.Stdout,
		Format:  format,
		Timeout: flags.timeout,
	}, nil
}
