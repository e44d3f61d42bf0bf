package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/explain"
	"github.com/micaplank/micaplank/internal/selfhosted/operator"
)

// explainCommand shows the timeline of a request from log files. It contacts no node.
type explainCommand struct {
	id string
	logFlags
}

// logFlags are the flags that select the logs and the lines that a command reads.
type logFlags struct {
	files []string
	since string
}

// declare adds the flags to a subcommand.
func (f *logFlags) declare(subcommand *flaggy.Subcommand) {
	subcommand.StringSlice(&f.files, "l", "log", "A log in JSON; may be repeated; - is standard input, and the default.")
	subcommand.String(&f.since, "s", "since", "Leave out what is older: a time such as 2026-12-02T10:00:00Z, or a duration before the newest line, such as 10m.")
}

func (c *explainCommand) declare() *flaggy.Subcommand {
	subcommand := newSubcommand("explain", "Tell the story of a request from the nodes' logs: what was decided, when, and on which belief.")
	subcommand.AddPositionalValue(&c.id, "ID", 1, true, "The id of the request.")
	c.logFlags.declare(subcommand)
	return subcommand
}

func (c *explainCommand) run(_ context.Context, session *operator.Session) error {
	lines, since, err := c.readLogs()
	if err != nil {
		return err
	}
	timeline := explain.RequestTimeline(lines, c.id, since)
	if len(timeline.Steps) == 0 {
		return fmt.Errorf("explain request %q: no matching line among %d log lines", c.id, len(lines))
	}
	if session.Format == operator.FormatJSON {
		return explain.WriteJSON(session.Output, timeline)
	}
	return explain.WriteText(session.Output, timeline)
}

// readLogs returns the lines of all logs, and the time from which lines are included.
func (f *logFlags) readLogs() ([]explain.Line, time.Time, error) {
	files := f.files
	if len(files) == 0 {
		files = []string{stdinName}
	}
	var lines []explain.Line
	for _, name := range files {
		logLines, err := readLog(name)
		if err != nil {
			return nil, time.Time{}, err
		}
		lines = append(lines, logLines...)
	}
	since, err := parseSince(f.since, lines)
	return lines, since, err
}

func readLog(name string) ([]explain.Line, error) {
	if name == stdinName {
		return explain.ReadLog(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	return explain.ReadLog(file)
}

// parseSince parses the value of --since. A duration is relative to the newest line.
func parseSince(text string, lines []explain.Line) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if at, err := time.Parse(time.RFC3339, text); err == nil {
		return at, nil
	}
	age, err := time.ParseDuration(text)
	if err != nil || age < 0 {
		return time.Time{}, &operator.UsageError{Message: fmt.Sprintf("--since: expected a time such as 2026-12-02T10:00:00Z or a duration such as 10m, found %q", text)}
	}
	newest := time.Time{}
	for _, line := range lines {
		if line.Time.After(newest) {
			newest = line.Time
		}
	}
	return newest.Add(-age), nil
}
