package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/losses"
	"github.com/micaplank/micaplank/internal/selfhosted/operator"
)

// lossesCommand adds up from logs what requests lost; it asks no node.
type lossesCommand struct{ logFlags }

func (c *lossesCommand) attach() *flaggy.Subcommand {
	subcommand := newCommand("losses", "Add up from the nodes' logs what requests lost: by cause, route, second and node, with the worst ids for explain.")
	c.logFlags.attach(subcommand)
	return subcommand
}

func (c *lossesCommand) run(_ context.Context, session *operator.Session) error {
	lines, since, err := c.read()
	if err != nil {
		return err
	}
	report := losses.Add(lines, since)
	if session.Format == operator.FormatJSON {
		return losses.WriteJSON(session.Output, report)
	}
	return losses.WriteText(session.Output, report)
}
