package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/explain"
	"github.com/micaplank/micaplank/internal/selfhosted/operator"
)

// rolloutsCommand shows the timeline of rollouts from log files. It contacts no node.
type rolloutsCommand struct {
	service string
	logFlags
}

func (c *rolloutsCommand) declare() *flaggy.Subcommand {
	subcommand := newSubcommand("rollouts", "Tell the history of roll-outs from the nodes' logs: orders, what was decided and why, and how soon the nodes followed.")
	subcommand.AddPositionalValue(&c.service, "SERVICE", 1, false, "Only those of one service.")
	c.logFlags.declare(subcommand)
	return subcommand
}

func (c *rolloutsCommand) run(_ context.Context, session *operator.Session) error {
	lines, since, err := c.readLogs()
	if err != nil {
		return err
	}
	timeline := explain.RolloutTimeline(lines, c.service, since)
	if len(timeline.Steps) == 0 {
		return fmt.Errorf("show roll-outs: no matching line among %d log lines", len(lines))
	}
	if session.Format == operator.FormatJSON {
		return explain.WriteJSON(session.Output, timeline)
	}
	return explain.WriteText(session.Output, timeline)
}
