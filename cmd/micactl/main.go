// Command micactl is the operators' command line: it sends statements of the
// command language to a node, waits until a change is in force, and shows the
// state of the deployment.
//
// Exit codes: 0 done, 1 failed or not accepted or not known, 2 wrong usage.
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
	// nodesVariable names the nodes if --node does not.
	nodesVariable = "MICAPLANK_NODES"
	// defaultNode is the node of last resort.
	defaultNode = "127.0.0.1:7201"
	// defaultTimeout is how long a command waits unless it says otherwise.
	defaultTimeout = 10 * time.Second
)

// globals are the flags of every command.
type globalFlags struct {
	nodes    []string
	output   string
	timeout  time.Duration
	operator string
}

// command is one subcommand.
type command interface {
	// declare returns the subcommand with its flags and arguments.
	declare() *flaggy.Subcommand
	// run carries it out.
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

// run parses the arguments and runs the chosen command. The library ends the
// process by itself for help, version and unknown arguments.
func run(ctx context.Context, arguments []string) error {
	flags := globalFlags{output: string(operator.FormatText), timeout: defaultTimeout, operator: os.Getenv("USER")}
	parser := newParser(&flags)
	list := commands()
	subcommands := make([]*flaggy.Subcommand, len(list))
	for i, command := range list {
		subcommands[i] = command.declare()
		parser.AttachSubcommand(subcommands[i], 1)
		if completion, ok := command.(*completionCommand); ok {
			completion.root = &parser.Subcommand
		}
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return &operator.UsageError{Message: "wrong value of a flag: " + err.Error()}
	}
	for i, command := range list {
		if !subcommands[i].Used {
			continue
		}
		session, err := newSession(flags)
		if err != nil {
			return err
		}
		return session.Finish(command.run(ctx, session))
	}
	parser.ShowHelp()
	return &operator.UsageError{Message: "name a command"}
}

func newParser(flags *globalFlags) *flaggy.Parser {
	parser := flaggy.NewParser("micactl")
	parser.Description = "Operates micaplank: runs statements, shows state, runs queries."
	parser.Version = version.Version
	parser.ShowCompletion = false // completionCommand takes its place
	parser.AdditionalHelpAppend = "Exit codes: 0 done, 1 failed, not accepted or not known, 2 wrong usage."
	parser.StringSlice(&flags.nodes, "n", "node", "Address of a node; may be repeated or a comma list; the next is tried if one cannot be reached. Default: $"+nodesVariable+" or "+defaultNode+".")
	parser.String(&flags.output, "o", "output", "Output format: text or json.")
	parser.Duration(&flags.timeout, "t", "timeout", "How long to wait for a result.")
	parser.String(&flags.operator, "", "operator", "Name for the log of changes.")
	return parser
}

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
