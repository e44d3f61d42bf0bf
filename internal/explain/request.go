package explain

import (
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/scatter"
)

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

// taken says from whom a request came, and how it was planned.
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
	if line.PatienceMS > 0 {
		text += fmt.Sprintf(", client waits %d ms", line.PatienceMS)
	}
	return text
}

// attempted says how an attempt went, and what the node knew of the leaf before it.
func attempted(one *event.Attempt, known *beliefs) string {
	text := fmt.Sprintf("shard %d: %s attempt to %s (%s): ", one.Shard, one.Cause, one.Leaf, one.Address)
	if one.End == string(scatter.EndOpen) {
		text += "no answer until the end"
	} else {
		text += fmt.Sprintf("%s after %d ms", one.End, one.TookMS)
	}
	if one.Detail != "" {
		text += " (" + one.Detail + ")"
	}
	text += fmt.Sprintf("; believed: %d of %d in flight, %.1f of others (%d ms old), slowness %.2f, budget %.2f",
		one.InFlight, one.Limit, one.Others, one.AgeMS, one.Slowness, one.Budget)
	if announcement := known.leaves[one.Leaf]; announcement != "" {
		text += "; announced: " + announcement
	}
	return text
}

// ended says how a request ended for its client.
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
	if line.RetryAfterMS > 0 {
		text += fmt.Sprintf(", client may come again after %d ms", line.RetryAfterMS)
	}
	if line.Executor != "" {
		text += ", run by " + line.Executor
	}
	return text + fmt.Sprintf(", after %d ms", line.TookMS)
}
