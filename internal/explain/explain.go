// Package explain is behind "micactl explain" and "micactl rollouts": from the
// logs of nodes it puts together the timeline of one request, each decision about
// it with what the node believed at that time, and the timeline of roll-outs.
// It owns nothing, is pure, and relies on the lines that internal/event writes.
package explain

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

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
	KindNodeState = "belief"
	KindReceived  = "taken"
	KindAttempt   = "attempt"
	KindEnd       = "end"
	KindLost      = "lost"
)

// Timeline is what the logs contain about a request, or about roll-outs.
type Timeline struct {
	RequestID string `json:"request_id"`
	Steps     []Step `json:"steps"`
	// Dropped counts lines of requests that the nodes of the timeline dropped for
	// their rate: they may be missing here.
	DroppedLines int `json:"dropped_lines"`
}

// Request returns the timeline of a request. Lines before since are left out, but
// for what they say of beliefs. It has no steps if no line names the request.
func RequestTimeline(lines []Line, requestID string, since time.Time) Timeline {
	sorted := sortByTime(lines)
	timeline := Timeline{RequestID: requestID}
	states := make(map[string]*nodeState)
	nodes := make(map[string]bool)
	for index := range sorted {
		line := &sorted[index]
		if states[line.Node] == nil {
			states[line.Node] = newNodeState()
		}
		states[line.Node].apply(line)
		if line.RequestID == requestID && !line.Time.Before(since) {
			nodes[line.Node] = true
			timeline.Steps = append(timeline.Steps, requestSteps(line, states[line.Node])...)
		}
	}
	slices.SortStableFunc(timeline.Steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	for index := range sorted {
		if line := &sorted[index]; nodes[line.Node] && line.Message == (event.Request{}).Kind().Message {
			timeline.DroppedLines += line.DroppedBefore
		}
	}
	return timeline
}
