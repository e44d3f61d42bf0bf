package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/explain"
	"github.com/micaplank/micaplank/internal/operator"
)

// explainCommand tells the story of a request from logs; it asks no node.
type explainCommand struct {
	id    string
	files []string
	since string
}

func (c *explainCommand) attach() *flaggy.Subcommand {
	subcommand := newCommand("explain", "Tell the story of a request from the nodes' logs: what was decided, when, and on which belief.")
	subcommand.AddPositionalValue(&c.id, "ID", 1, true, "The id of the request.")
	subcommand.StringSlice(&c.files, "l", "log", "A log in JSON; may be repeated; - is standard input, and the default.")
	subcommand.String(&c.since, "s", "since", "Leave out what is older: a time such as 2026-12-02T10:00:00Z, or a duration before the newest line, such as 10m.")
	return subcommand
}

func (c *explainCommand) run(_ context.Context, session *operator.Session) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	since, err := sinceTime(c.since, lines)
	if err != nil {
		return err
	}
	story := explain.Tell(lines, c.id, since)
	if len(story.Steps) == 0 {
		return fmt.Errorf("none of the %d lines names request %q", len(lines), c.id)
	}
	if session.Format == operator.FormatJSON {
		return explain.WriteJSON(session.Output, story)
	}
	return explain.WriteText(session.Output, story)
}

func (c *explainCommand) read() ([]explain.Line, error) {
	files := c.files
	if len(files) == 0 {
		files = []string{standardInput}
	}
	var lines []explain.Line
	for _, name := range files {
		read, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(name string) ([]explain.Line, error) {
	if name == standardInput {
		return explain.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was read
	return explain.Read(file)
}

// sinceTime reads the value of --since.
func sinceTime(text string, lines []explain.Line) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if at, err := time.Parse(time.RFC3339, text); err == nil {
		return at, nil
	}
	before, err := time.ParseDuration(text)
	if err != nil || before < 0 {
		return time.Time{}, &operator.UsageError{Message: fmt.Sprintf("--since: expected a time such as 2026-12-02T10:00:00Z or a duration such as 10m, found %q", text)}
	}
	newest := time.Time{}
	for _, line := range lines {
		if line.Time.After(newest) {
			newest = line.Time
		}
	}
	return newest.Add(-before), nil
}
