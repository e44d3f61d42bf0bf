// Package losses is behind "micactl losses": it adds up, from the logs of nodes,
// the requests without an answer and the shards that answers lack, by cause. It is
// pure, owns the causes (causes.go), and relies on internal/explain to read the
// lines, and on scatter and dispatch for the names of ends and reasons.
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

// The fates of requests as event.Request writes them.
const (
	fateAnswered = "answered" // by one leaf
	fateMerged   = "merged"   // from parts
	fateNoRoute  = "no_route"
	fateNotRun   = "not_run"
)

// worstRequests is how many requests are named. Not measured: chosen to keep the
// report short.
const maxWorstRequests = 10

// Part is what was lost in one group of requests. Lost is in whole requests: one
// without an answer counts 1, one that lacks shards 1 less the square of the share
// that is in, by which users value it.
type Group struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Lost     float64 `json:"lost"`
}

// Worst names a request that lost much.
type WorstRequest struct {
	RequestID string  `json:"request_id"`
	Node      string  `json:"node"`
	Cause     Cause   `json:"cause"`
	Lost      float64 `json:"lost"`
}

// Report is what the logs tell.
type Report struct {
	// Requests is how many were taken from clients, of those logged; NoRoute of them
	// had no route, and are not counted further.
	Requests int     `json:"requests"`
	NoRoute  int     `json:"no_route"`
	Lost     float64 `json:"lost"`
	// Dropped counts lines that the nodes did not write for their rate. The figures
	// lack these requests.
	DroppedLines int            `json:"dropped_lines"`
	ByCause      []Group        `json:"by_cause"`
	ByRoute      []Group        `json:"by_route"`
	BySecond     []Group        `json:"by_second"`
	ByNode       []Group        `json:"by_node"`
	WorstRequests        []WorstRequest `json:"worst"`
}

// request is what the lines of one request tell: that of the node that took it, and
// that of the node that ran it.
type loggedRequest struct {
	received, executed *explain.Line
}

// Add adds up the lines that are not older than since.
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

// add adds one request.
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

// sharesOf returns what a request lost, by cause.
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

// divided divides a loss among the causes of the shards that brought no part.
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
