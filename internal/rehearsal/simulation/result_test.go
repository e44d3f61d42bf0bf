package simulation

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// Result holds the counts and the violations of a run.
type Result struct {
	// Violations counts the violations by invariant. Examples describes the first maxExamples of
	// each.
	Violations map[Violation]int
	Examples   []string
	// Queries is the number of queries that clients sent, Sends the number of attempts.
	Queries, Sends int
	// Outcomes counts the finished queries by outcome.
	Outcomes map[dispatch.Outcome]int
	// TotalLatency is the sum, over all finished queries, of the time from the client's request to
	// the finish.
	TotalLatency time.Duration
	Leaves       []LeafResult
}

// LeafResult holds the numbers of attempts that one leaf received and executed.
type LeafResult struct {
	Received, Executed int
	// BusyTime is the total time during which its slots were in use.
	BusyTime time.Duration
}

// recordOutcome adds a finished query to the Result.
func (s *simulator) recordOutcome(q *query) {
	s.result.Outcomes[q.finish.Outcome]++
	s.result.TotalLatency += q.finishedAt - q.sentAt
}

// completeResult adds the totals at the end of a run.
func (s *simulator) completeResult() {
	s.result.Queries = len(s.queries)
	for _, l := range s.leaves {
		s.result.Leaves = append(s.result.Leaves, LeafResult{Received: l.received, Executed: l.executed, BusyTime: l.busyTime})
	}
}
