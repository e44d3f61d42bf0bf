// Package losses computes the report of "micactl losses". From the logs of nodes it sums up
// requests without an answer and shards that are missing in answers, grouped by cause, route,
// second and node. The package defines the causes and has no side effects. internal/explain
// reads the lines; the outcomes of attempts and the reasons are those of packages scatter and
// dispatch.
package losses

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/explain"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Fates of requests, as written by event.Request.
const (
	fateAnswered = "answered" // answered by one leaf
	fateMerged   = "merged"   // merged from the parts of shards
	fateNoRoute  = "no_route"
	fateNotRun   = "not_run"
)

// maxWorstRequests limits the list of requests with the greatest loss, to keep the report short.
const maxWorstRequests = 10

// Group is the total loss of a group of requests. The unit of Lost is one request: a request
// without an answer counts as 1. An answer with a share s of its shards counts as 1 - s*s, because
// the value of an answer to users is the square of the share.
type Group struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Lost     float64 `json:"lost"`
}

// WorstRequest identifies a request with a great loss, and its main cause.
type WorstRequest struct {
	RequestID string  `json:"request_id"`
	Node      string  `json:"node"`
	Cause     Cause   `json:"cause"`
	Lost      float64 `json:"lost"`
}

// Report summarizes the losses in the logs.
type Report struct {
	// Requests counts the logged requests that were received from clients.
	Requests int `json:"requests"`
	// NoRoute counts the requests among them that matched no route. They count as no loss and
	// belong to no group.
	NoRoute int     `json:"no_route"`
	Lost    float64 `json:"lost"`
	// DroppedLines counts the lines that the nodes dropped because of the rate limit. The
	// requests of these lines are missing in the report.
	DroppedLines  int            `json:"dropped_lines"`
	ByCause       []Group        `json:"by_cause"`
	ByRoute       []Group        `json:"by_route"`
	BySecond      []Group        `json:"by_second"`
	ByNode        []Group        `json:"by_node"`
	WorstRequests []WorstRequest `json:"worst"`
}

// loggedRequest holds the log lines of a request. A line is nil if it is missing.
type loggedRequest struct {
	received *explain.Line // line of the node that received the request from the client
	executed *explain.Line // line of the node that ran the request
}

// NewReport sums up the lines that are not older than since.
func NewReport(lines []explain.Line, since time.Time) Report {
	var report Report
	requests := make(map[string]loggedRequest)
	for index := range lines {
		line := &lines[index]
		if line.Message != (event.Request{}).Kind().Message || line.Time.Before(since) {
			continue
		}
		report.DroppedLines += line.DroppedBefore
		logged := requests[line.RequestID]
		if line.Node == line.From {
			logged.received = line
		}
		if line.Executor == "" {
			logged.executed = line
		}
		requests[line.RequestID] = logged
	}
	tallies := newTallies()
	for _, id := range slices.Sorted(maps.Keys(requests)) {
		if request := requests[id]; request.received != nil {
			report.addRequest(request, tallies)
		}
	}
	report.ByCause, report.ByRoute = tallies.cause.sorted(compareLoss), tallies.route.sorted(compareLoss)
	report.BySecond, report.ByNode = tallies.second.sorted(compareName), tallies.node.sorted(compareLoss)
	slices.SortStableFunc(report.WorstRequests, func(a, b WorstRequest) int { return cmp.Compare(b.Lost, a.Lost) })
	report.WorstRequests = report.WorstRequests[:min(len(report.WorstRequests), maxWorstRequests)]
	return report
}

// addRequest adds a request to the report and to the tallies.
func (r *Report) addRequest(request loggedRequest, tallies *tallies) {
	r.Requests++
	if request.received.Fate == fateNoRoute {
		r.NoRoute++
		return
	}
	shares := lossByCause(request)
	lost := 0.0
	worstCause, worstLoss := CauseUnknown, 0.0
	for _, cause := range slices.Sorted(maps.Keys(shares)) {
		share := shares[cause]
		lost += share
		tallies.cause.add(string(cause), share)
		if share > worstLoss {
			worstCause, worstLoss = cause, share
		}
	}
	tallies.route.add(request.received.Route, lost)
	tallies.second.add(request.received.Time.Truncate(time.Second).Format(time.RFC3339), lost)
	tallies.node.add(request.received.Node, lost)
	if lost > 0 {
		r.Lost += lost
		r.WorstRequests = append(r.WorstRequests, WorstRequest{RequestID: request.received.RequestID, Node: request.received.Node, Cause: worstCause, Lost: lost})
	}
}

// lossByCause returns the loss of a request for each of its causes.
func lossByCause(request loggedRequest) map[Cause]float64 {
	line := request.received
	switch {
	case line.Fate == fateAnswered && line.Status < http.StatusInternalServerError:
		return nil
	case line.Fate == fateAnswered:
		return map[Cause]float64{CauseLeafFailed: 1}
	case line.Fate == fateMerged && line.Answered >= line.Total:
		return nil
	case line.Fate == fateMerged:
		share := float64(line.Answered) / float64(max(line.Total, 1))
		return divideByShard(request.executed, 1-share*share)
	case line.Fate == fateNotRun:
		return map[Cause]float64{refusalCause(line.Reason): 1}
	case request.executed == nil && line.Executor != "":
		return map[Cause]float64{CauseExecutorLost: 1}
	default:
		return divideByShard(request.executed, 1)
	}
}

// divideByShard divides a loss evenly among the shards that returned no part, and sums it up by
// their causes.
func divideByShard(executed *explain.Line, lost float64) map[Cause]float64 {
	if executed == nil {
		return map[Cause]float64{CauseUnknown: lost}
	}
	shards := make(map[int][]event.Attempt)
	for _, attempt := range executed.Attempts {
		shards[attempt.Shard] = append(shards[attempt.Shard], attempt)
	}
	counts := make(map[Cause]float64)
	total := 0.0
	for _, attempts := range shards {
		if slices.ContainsFunc(attempts, func(candidate event.Attempt) bool { return candidate.End == string(scatter.EndAnswered) }) {
			continue
		}
		counts[shardCause(attempts)]++
		total++
	}
	if total == 0 {
		return map[Cause]float64{CauseUnknown: lost}
	}
	for cause := range counts {
		counts[cause] *= lost / total
	}
	return counts
}
