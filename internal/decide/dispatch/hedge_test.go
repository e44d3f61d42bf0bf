package dispatch

import (
	"testing"
	"time"
)

// TestLateAttemptIsWaitedForWhereNoLeafTakesAnother: the only leaf drains, or its
// zone was taken out of service, while it answers.
func TestLateAttemptIsKeptWithoutAnotherLeaf(t *testing.T) {
	r := newRig(t, 1, func(c *Config) { c.RequireCoverage, c.EndWithoutBudget = true, true })
	r.latency[0] = 900 * time.Millisecond
	r.modifyQuery = func(q *Query) { q.Deadline, q.HedgeDelay = r.now+time.Second, 30*time.Millisecond }
	id := r.submit(1)
	r.topology.Leaves[0].Usable = false
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.run(time.Second)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered || len(r.aborted) != 0 {
		t.Errorf("finished %+v, aborted %v", finish, r.aborted)
	}
}
