package simulation

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// Result is what one run did.
type Result struct {
	// Violations counts the broken promises; Examples describes the first.
	Violations map[Violation]int
	Examples   []string
	// Queries counts what clients sent, and Sends the attempts.
	Queries, Sends int
	// Outcomes counts the finished queries by outcome.
	Outcomes map[dispatch.Outcome]int
	// AnswerTime adds up, over the finished queries, the time from the client's
	// sending to the finish.
	TotalLatency time.Duration
	Leaves       []LeafResult
}

// LeafResult counts the attempts that reached one leaf, and those that it ran.
type LeafResult struct {
	Received, Executed int
	// Busy adds up the time that its slots were at work.
	BusyTime time.Duration
}

// collect counts a finished query.
func (s *simulator) recordOutcome(q *query) {
	s.result.Outcomes[q.finish.Outcome]++
	s.result.TotalLatency += q.finishedAt - q.sentAt
}

// summarise completes the Result at the end of a run.
func (s *simulator) completeResult() {
	s.result.Queries = len(s.queries)
	for _, l := range s.leaves {
		s.result.Leaves = append(s.result.Leaves, LeafResult{Received: l.received, Executed: l.executed, BusyTime: l.busyTime})
	}
}
