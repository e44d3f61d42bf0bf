package explain

import (
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/scatter"
)

// requestSteps returns the steps for a line about a request: the state of the node, the receipt of
// the request, its attempts and its end. A line about a lost executor gives a single step.
func requestSteps(line *Line, state *nodeState) []Step {
	if line.Message == (event.RequestLost{}).Kind().Message {
		return []Step{{line.Time, line.Node, KindLost, fmt.Sprintf("lost with %s, which ran it: %s", line.Executor, line.Error)}}
	}
	startedAt := line.Time.Add(-milliseconds(line.TookMS))
	var steps []Step
	for _, text := range state.describe(line) {
		steps = append(steps, Step{startedAt, line.Node, KindNodeState, text})
	}
	steps = append(steps, Step{startedAt, line.Node, KindReceived, receivedText(line)})
	for index := range line.Attempts {
		attempt := &line.Attempts[index]
		steps = append(steps, Step{startedAt.Add(milliseconds(attempt.AtMS)), line.Node, KindAttempt, attemptText(attempt, state)})
	}
	return append(steps, Step{line.Time, line.Node, KindEnd, endText(line)})
}

func milliseconds(number int64) time.Duration { return time.Duration(number) * time.Millisecond }

// receivedText describes where a request came from, and which route it took.
func receivedText(line *Line) string {
	text := "taken from its client"
	if line.From != "" && line.From != line.Node {
		text = "taken over from " + line.From
	}
	if line.Route == "" {
		text += ", no route matches"
	} else {
		text += fmt.Sprintf(", route %s of version %d, %d shards", line.Route, line.Version, line.Total)
	}
	if line.PatienceMS > 0 {
		text += fmt.Sprintf(", client waits %d ms", line.PatienceMS)
	}
	return text
}

// attemptText describes the outcome of an attempt, and what the node knew about the leaf before
// the attempt.
func attemptText(attempt *event.Attempt, state *nodeState) string {
	text := fmt.Sprintf("shard %d: %s attempt to %s (%s): ", attempt.Shard, attempt.Cause, attempt.Leaf, attempt.Address)
	if attempt.End == string(scatter.EndOpen) {
		text += "no answer until the end"
	} else {
		text += fmt.Sprintf("%s after %d ms", attempt.End, attempt.TookMS)
	}
	if attempt.Detail != "" {
		text += " (" + attempt.Detail + ")"
	}
	text += fmt.Sprintf("; believed: %d of %d in flight, %.1f of others (%d ms old), slowness %.2f, budget %.2f",
		attempt.InFlight, attempt.Limit, attempt.Others, attempt.AgeMS, attempt.Slowness, attempt.Budget)
	if announcement := state.announcements[attempt.Leaf]; announcement != "" {
		text += "; announced: " + announcement
	}
	return text
}

// endText describes the result of a request for its client.
func endText(line *Line) string {
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
	if line.RetryAfterMS > 0 {
		text += fmt.Sprintf(", client may come again after %d ms", line.RetryAfterMS)
	}
	if line.Executor != "" {
		text += ", run by " + line.Executor
	}
	return text + fmt.Sprintf(", after %d ms", line.TookMS)
}
