// Package explain builds timelines from the logs of nodes for "micactl explain" and
// "micactl rollouts". The timeline of a request shows each decision about the request, and what
// the node knew at that time. The timeline of rollouts shows orders, decisions and their
// adoption. The package reads the lines that internal/event writes, and has no side effects.
package explain

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

// Step is an entry of a timeline.
type Step struct {
	Time time.Time `json:"time"`
	Node string    `json:"node"`
	// Kind is one of the Kind constants, such as KindAttempt.
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// Kinds of steps in the timeline of a request.
const (
	KindNodeState = "belief"  // what the node knew when the request started
	KindReceived  = "taken"   // the node received the request, or took it over from another node
	KindAttempt   = "attempt" // the node sent an attempt to a leaf
	KindEnd       = "end"     // the request ended on the node
	KindLost      = "lost"    // the executor was lost
)

// Timeline holds the steps of a request or of rollouts in order of time.
type Timeline struct {
	RequestID string `json:"request_id"`
	Steps     []Step `json:"steps"`
	// DroppedLines counts the lines of requests that the nodes of the timeline dropped because
	// of the rate limit. Steps of the request may be missing for this reason.
	DroppedLines int `json:"dropped_lines"`
}

// RequestTimeline returns the timeline of a request. Lines before since add no steps, but they
// contribute to the state of the nodes. The timeline is empty if no line names the request.
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
