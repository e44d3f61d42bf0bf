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
const worstRequests = 10

// Part is what was lost in one group of requests. Lost is in whole requests: one
// without an answer counts 1, one that lacks shards 1 less the square of the share
// that is in, by which users value it.
type Part struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Lost     float64 `json:"lost"`
}

// Worst names a request that lost much.
type Worst struct {
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
	Dropped  int     `json:"dropped_lines"`
	ByCause  []Part  `json:"by_cause"`
	ByRoute  []Part  `json:"by_route"`
	BySecond []Part  `json:"by_second"`
	ByNode   []Part  `json:"by_node"`
	Worst    []Worst `json:"worst"`
}

// request is what the lines of one request tell: that of the node that took it, and
// that of the node that ran it.
type request struct {
	taken, ran *explain.Line
}

// Add adds up the lines that are not older than since.
func Add(lines []explain.Line, since time.Time) Report {
	var report Report
	requests := make(map[string]request)
	for index := range lines {
		line := &lines[index]
		if line.Message != (event.Request{}).Kind().Message || line.Time.Before(since) {
			continue
		}
		report.Dropped += line.Dropped
		found := requests[line.RequestID]
		if line.Node == line.From {
			found.taken = line
		}
		if line.Executor == "" {
			found.ran = line
		}
		requests[line.RequestID] = found
	}
	groups := newGroups()
	for _, id := range slices.Sorted(maps.Keys(requests)) {
		if one := requests[id]; one.taken != nil {
			report.add(one, groups)
		}
	}
	report.ByCause, report.ByRoute = groups.cause.parts(byLoss), groups.route.parts(byLoss)
	report.BySecond, report.ByNode = groups.second.parts(byName), groups.node.parts(byLoss)
	slices.SortStableFunc(report.Worst, func(a, b Worst) int { return cmp.Compare(b.Lost, a.Lost) })
	report.Worst = report.Worst[:min(len(report.Worst), worstRequests)]
	return report
}

// add adds one request.
func (r *Report) add(one request, groups *groups) {
	r.Requests++
	if one.taken.Fate == fateNoRoute {
		r.NoRoute++
		return
	}
	shares := sharesOf(one)
	lost := 0.0
	worst, most := CauseUnknown, 0.0
	for _, cause := range slices.Sorted(maps.Keys(shares)) {
		share := shares[cause]
		lost += share
		groups.cause.add(string(cause), share)
		if share > most {
			worst, most = cause, share
		}
	}
	groups.route.add(one.taken.Route, lost)
	groups.second.add(one.taken.Time.Truncate(time.Second).Format(time.RFC3339), lost)
	groups.node.add(one.taken.Node, lost)
	if lost > 0 {
		r.Lost += lost
		r.Worst = append(r.Worst, Worst{RequestID: one.taken.RequestID, Node: one.taken.Node, Cause: worst, Lost: lost})
	}
}

// sharesOf returns what a request lost, by cause.
func sharesOf(one request) map[Cause]float64 {
	line := one.taken
	switch {
	case line.Fate == fateAnswered && line.Status < http.StatusInternalServerError:
		return nil
	case line.Fate == fateAnswered:
		return map[Cause]float64{CauseLeafFailed: 1}
	case line.Fate == fateMerged && line.Answered >= line.Total:
		return nil
	case line.Fate == fateMerged:
		share := float64(line.Answered) / float64(max(line.Total, 1))
		return divided(one.ran, 1-share*share)
	case line.Fate == fateNotRun:
		return map[Cause]float64{refusal(line.Reason): 1}
	case one.ran == nil && line.Executor != "":
		return map[Cause]float64{CauseExecutorLost: 1}
	default:
		return divided(one.ran, 1)
	}
}

// divided divides a loss among the causes of the shards that brought no part.
func divided(ran *explain.Line, lost float64) map[Cause]float64 {
	if ran == nil {
		return map[Cause]float64{CauseUnknown: lost}
	}
	shards := make(map[int][]event.Attempt)
	for _, attempt := range ran.Attempts {
		shards[attempt.Shard] = append(shards[attempt.Shard], attempt)
	}
	counts := make(map[Cause]float64)
	total := 0.0
	for _, attempts := range shards {
		if slices.ContainsFunc(attempts, func(one event.Attempt) bool { return one.End == string(scatter.EndAnswered) }) {
			continue
		}
		counts[causeOf(attempts)]++
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
