package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// A query whose bound on attempts is used up must wait for the attempts in flight, since no other
// attempt may follow.
func TestQueryWaitsForLastAllowedAttempt(t *testing.T) {
	r := newRig(t, 2, withoutProbes)
	r.submitEvery10ms(60)
	r.modifyQuery = func(query *Query) { query.MaximumAttempts = 1 }
	r.latency[0], r.latency[1] = 150*time.Millisecond, 150*time.Millisecond
	id := r.submit(1)
	r.run(160 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered {
		t.Errorf("got %+v, want outcome answered", finish)
	}
}

// Refused attempts did not execute and must not count towards the query's bound on attempts.
func TestMaximumAttemptsIgnoresUnexecutedAttempts(t *testing.T) {
	r := newRig(t, 3, nil)
	r.modifyQuery = func(query *Query) { query.MaximumAttempts = 1 }
	id := r.submit(1)
	r.refuse(leaf.RefusedMoved)
	r.refuse(leaf.RefusedMoved)
	r.run(20 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered {
		t.Errorf("got %+v, want outcome answered", finish)
	}
}

// A query may need only some shards of a partition, listed by their numbers.
func TestQueryOfListedShards(t *testing.T) {
	r := newRig(t, 3, nil)
	r.topology.Partitions = []catalog.Partition{{Epoch: 1, Shards: 4}}
	for index := range r.topology.Leaves {
		r.topology.Leaves[index].Holdings = []leaf.Holding{{Snapshot: firstSnapshot, Shards: []int{index}}}
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.modifyQuery = func(query *Query) { query.Shards, query.MinimumCoverage = []int{2, 0}, 0.5 }
	id := r.submit(1)
	r.run(20 * time.Millisecond)
	finish := r.finishes[id]
	if finish.Outcome != OutcomeAnswered || finish.Total != 2 || r.sent[1] != 0 {
		t.Errorf("got %+v with %v attempts by leaf, want outcome answered for 2 shards and no attempt at leaf 1", finish, r.sent)
	}
	r.modifyQuery = func(query *Query) { query.Shards, query.MinimumCoverage = []int{2, 3}, 0.5 }
	id = r.submit(1)
	r.run(20 * time.Millisecond)
	finish = r.finishes[id]
	if finish.Outcome != OutcomePartial || len(finish.Missing) != 1 || finish.Missing[0] != 3 {
		t.Errorf("got %+v, want outcome partial without shard 3", finish)
	}
}

// A query with enough coverage must be answered shortly before its objective, not at its deadline.
func TestQuerySettlesShortlyBeforeObjective(t *testing.T) {
	r := newRig(t, 2, func(config *Config) { withoutHedges(config); withoutProbes(config) })
	r.topology.Partitions = []catalog.Partition{{Epoch: 1, Shards: 2}}
	for index := range r.topology.Leaves {
		r.topology.Leaves[index].Holdings = []leaf.Holding{{Snapshot: firstSnapshot, Shards: []int{index}}}
	}
	r.perform(r.d.SetTopology(r.now, r.topology))
	r.modifyQuery = func(query *Query) {
		query.Objective, query.MinimumCoverage = r.now+100*time.Millisecond, 0.5
	}
	r.latency[1] = 150 * time.Millisecond
	id := r.submit(1)
	r.run(85 * time.Millisecond)
	if finish, ended := r.finishes[id]; ended {
		t.Fatalf("got %+v before the settle time, want no finish", finish)
	}
	r.run(10 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomePartial || len(finish.Answered) != 1 {
		t.Errorf("got %+v, want outcome partial with 1 answer", finish)
	}
}

// If both leaves of a shard refuse all the time, the retries must stay within the budget of that
// shard, and each query must end.
func TestShardBudgetBoundsItsRetries(t *testing.T) {
	r := newRig(t, 2, func(config *Config) {
		config.BudgetByShard, config.ChargeRefusals = true, true
		config.Budget.Capacity, config.Budget.Initial, config.Budget.MaxDebt, config.Budget.Reserve = 4, 4, 0, 1
	})
	const queries = 200
	retries := 0
	for range queries {
		id := r.submit(1)
		sent := r.sent[0] + r.sent[1]
		for range 20 {
			if len(r.open) > 0 {
				r.refuse(leaf.RefusedShed)
			}
			r.run(20 * time.Millisecond)
		}
		retries += r.sent[0] + r.sent[1] - sent
		if _, ended := r.finishes[id]; !ended {
			t.Fatalf("query %d has no finish, want one", id)
		}
	}
	if allowed := 4 + extraShare*queries + 1; float64(retries) > allowed {
		t.Errorf("got %d retries, want at most %.0f", retries, allowed)
	}
}

// A query must end immediately when a shard that it needs has no leaf and no budget for another
// attempt.
func TestQueryEndsWhenCoverageBecomesUnattainable(t *testing.T) {
	r := newRig(t, 2, func(config *Config) {
		config.BudgetByShard, config.ChargeRefusals = true, true
		config.EndWithoutBudget, config.RequireCoverage = true, true
		config.Budget.Initial, config.Budget.MaxDebt = 0, 0
	})
	id := r.submit(1)
	r.refuse(leaf.RefusedShed)
	finish, ended := r.finishes[id]
	if !ended || finish.Outcome != OutcomeNotRun || finish.Reason != ReasonExtraLoad {
		t.Errorf("got %+v, ended %v, want outcome not_run with reason extra_load", finish, ended)
	}
	if finish.RetryAfter <= 0 {
		t.Errorf("got RetryAfter %v, want more than 0", finish.RetryAfter)
	}
}
