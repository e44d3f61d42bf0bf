package dispatch

import (
	"testing"
	"time"
)

// If the only leaf drains or its zone is cordoned while it answers, the late attempt must not be
// replaced.
func TestLateAttemptIsKeptWithoutAnotherLeaf(t *testing.T) {
	r := newRig(t, 1, func(c *Config) { c.RequireCoverage, c.EndWithoutBudget = true, true })
	r.latency[0] = 900 * time.Millisecond
	r.modifyQuery = func(q *Query) { q.Deadline, q.HedgeDelay = r.now+time.Second, 30*time.Millisecond }
	id := r.submit(1)
	r.topology.Leaves[0].Usable = false
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.run(time.Second)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered || len(r.aborted) != 0 {
		t.Errorf("got %+v with aborted attempts %v, want outcome answered without an abort", finish, r.aborted)
	}
}
