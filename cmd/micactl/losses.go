package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/losses"
	"github.com/micaplank/micaplank/internal/selfhosted/operator"
)

// lossesCommand reports the losses of requests from log files. It contacts no node.
type lossesCommand struct{ logFlags }

func (c *lossesCommand) declare() *flaggy.Subcommand {
	subcommand := newSubcommand("losses", "Add up from the nodes' logs what requests lost: by cause, route, second and node, with the worst ids for explain.")
	c.logFlags.declare(subcommand)
	return subcommand
}

func (c *lossesCommand) run(_ context.Context, session *operator.Session) error {
	lines, since, err := c.readLogs()
	if err != nil {
		return err
	}
	report := losses.NewReport(lines, since)
	if session.Format == operator.FormatJSON {
		return losses.WriteJSON(session.Output, report)
	}
	return losses.WriteText(session.Output, report)
}
