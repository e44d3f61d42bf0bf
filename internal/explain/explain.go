// Package explain is behind "micactl explain" and "micactl rollouts": from the
// logs of nodes it puts together the timeline of one request, each decision about
// it with what the node believed at that time, and the timeline of roll-outs.
// It is pure, and relies on the lines that internal/event writes.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Line is one line of a log, as far as it matters here.
type Line struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"msg"`

	RequestID string          `json:"request_id"`
	Route     string          `json:"route"`
	Version   uint64          `json:"version"`
	Fate      string          `json:"fate"`
	Reason    string          `json:"reason"`
	Answered  int             `json:"answered"`
	Total     int             `json:"total"`
	Status    int             `json:"status"`
	TookMS    int64           `json:"took_ms"`
	Patience  int64           `json:"patience_ms"`
	Retry     int64           `json:"retry_after_ms"`
	From      string          `json:"from"`
	Executor  string          `json:"executor"`
	Attempts  []event.Attempt `json:"attempts"`

	Zone     string `json:"zone"`
	Cordoned bool   `json:"cordoned"`
	Leaf     string `json:"leaf"`
	Service  string `json:"service"`
	Draining bool   `json:"draining"`
	Removed  bool   `json:"removed"`
	Peer     string `json:"peer"`
	Away     string `json:"away"`
	Error    string `json:"error"`
	Left     int    `json:"left"`

	Target    string `json:"target"`
	Phase     string `json:"phase"`
	Withdrawn bool   `json:"withdrawn"`
	Nodes     int    `json:"nodes"`
	Duration  string `json:"duration"`
	Former    string `json:"former"`
	Order     uint64 `json:"order"`

	Dropped int `json:"dropped_before"`
}

// Read reads the lines of a log. What is no line of a log in JSON is skipped;
// text before the brace, such as a collector's own time, too.
func Read(from io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLine)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var line Line
		if err := json.Unmarshal(text[begin:], &line); err == nil && line.Message != "" {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading a log: %w", err)
	}
	return lines, nil
}

// Step is one step of a timeline.
type Step struct {
	Time time.Time `json:"time"`
	Node string    `json:"node"`
	// Kind is belief, taken, attempt, end or lost.
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// The kinds of steps.
const (
	KindBelief  = "belief"
	KindTaken   = "taken"
	KindAttempt = "attempt"
	KindEnd     = "end"
	KindLost    = "lost"
)

// Timeline is what the logs contain about a request, or about roll-outs.
type Timeline struct {
	RequestID string `json:"request_id"`
	Steps     []Step `json:"steps"`
	// Dropped counts lines of requests that the nodes of the timeline dropped for
	// their rate: they may be missing here.
	Dropped int `json:"dropped_lines"`
}

// Request returns the timeline of a request. Lines before since are left out, but
// for what they say of beliefs. It has no steps if no line names the request.
func Request(lines []Line, requestID string, since time.Time) Timeline {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	timeline := Timeline{RequestID: requestID}
	beliefs := make(map[string]*beliefs)
	nodes := make(map[string]bool)
	for index := range sorted {
		line := &sorted[index]
		if beliefs[line.Node] == nil {
			beliefs[line.Node] = newBeliefs()
		}
		beliefs[line.Node].learn(line)
		if line.RequestID == requestID && !line.Time.Before(since) {
			nodes[line.Node] = true
			timeline.Steps = append(timeline.Steps, stepsOf(line, beliefs[line.Node])...)
		}
	}
	slices.SortStableFunc(timeline.Steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	for index := range sorted {
		if line := &sorted[index]; nodes[line.Node] && line.Message == (event.Request{}).Kind().Message {
			timeline.Dropped += line.Dropped
		}
	}
	return timeline
}

// stepsOf returns the steps of one line of a request: what the node believed, the request, its
// attempts and its end.
func stepsOf(line *Line, known *beliefs) []Step {
	if line.Message == (event.RequestLost{}).Kind().Message {
		return []Step{{line.Time, line.Node, KindLost, fmt.Sprintf("lost with %s, which ran it: %s", line.Executor, line.Error)}}
	}
	begun := line.Time.Add(-milliseconds(line.TookMS))
	var steps []Step
	for _, text := range known.at(line) {
		steps = append(steps, Step{begun, line.Node, KindBelief, text})
	}
	steps = append(steps, Step{begun, line.Node, KindTaken, taken(line)})
	for index := range line.Attempts {
		one := &line.Attempts[index]
		steps = append(steps, Step{begun.Add(milliseconds(one.AtMS)), line.Node, KindAttempt, attempted(one, known)})
	}
	return append(steps, Step{line.Time, line.Node, KindEnd, ended(line)})
}

func milliseconds(number int64) time.Duration { return time.Duration(number) * time.Millisecond }

func taken(line *Line) string {
	text := "taken from its client"
	if line.From != "" && line.From != line.Node {
		text = "taken over from " + line.From
	}
	if line.Route == "" {
		text += ", no route matches"
	} else {
		text += fmt.Sprintf(", route %s of version %d, %d shards", line.Route, line.Version, line.Total)
	}
	if line.Patience > 0 {
		text += fmt.Sprintf(", client waits %d ms", line.Patience)
	}
	return text
}

func attempted(one *event.Attempt, known *beliefs) string {
	text := fmt.Sprintf("shard %d: %s attempt to %s (%s): ", one.Shard, one.Cause, one.Leaf, one.Address)
	if one.End == "open" {
		text += "no answer until the end"
	} else {
		text += fmt.Sprintf("%s after %d ms", one.End, one.TookMS)
	}
	if one.Detail != "" {
		text += " (" + one.Detail + ")"
	}
	text += fmt.Sprintf("; believed: %d of %d in flight, %.1f of others (%d ms old), slowness %.2f, budget %.2f",
		one.InFlight, one.Limit, one.Others, one.AgeMS, one.Slowness, one.Budget)
	if word := known.leaves[one.Leaf]; word != "" {
		text += "; announced: " + word
	}
	return text
}

func ended(line *Line) string {
	text := line.Fate
	if line.Total > 0 {
		text += fmt.Sprintf(", %d of %d shards", line.Answered, line.Total)
	}
	if line.Status != 0 {
		text += fmt.Sprintf(", status %d of the leaf", line.Status)
	}
	if line.Reason != "" {
		text += ", reason " + line.Reason
	}
	if line.Retry > 0 {
		text += fmt.Sprintf(", client may come again after %d ms", line.Retry)
	}
	if line.Executor != "" {
		text += ", run by " + line.Executor
	}
	return text + fmt.Sprintf(", after %d ms", line.TookMS)
}
