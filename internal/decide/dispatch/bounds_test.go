package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// TestLastAttemptIsWaitedFor runs a query whose bound on attempts is used up:
// the attempts in flight must not be given up, since no other may follow.
func TestQueryWaitsForLastAllowedAttempt(t *testing.T) {
	r := newRig(t, 2, withoutProbes)
	r.submitEvery10ms(60)
	r.modifyQuery = func(query *Query) { query.MaximumSends = 1 }
	r.latency[0], r.latency[1] = 150*time.Millisecond, 150*time.Millisecond
	id := r.submit(1)
	r.run(160 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered {
		t.Errorf("finished %+v", finish)
	}
}

// TestBoundCountsOnlyWhatMayHaveRun refuses the first attempts: they do not
// use up the bound.
func TestMaximumAttemptsIgnoresUnexecutedAttempts(t *testing.T) {
	r := newRig(t, 3, nil)
	r.modifyQuery = func(query *Query) { query.MaximumSends = 1 }
	id := r.submit(1)
	r.refuse(leaf.RefusedMoved)
	r.refuse(leaf.RefusedMoved)
	r.run(20 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomeAnswered {
		t.Errorf("finished %+v", finish)
	}
}

// TestListedShards asks for some shards of a partition, by their numbers.
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
		t.Errorf("finished %+v, sent %v", finish, r.sent)
	}
	r.modifyQuery = func(query *Query) { query.Shards, query.MinimumCoverage = []int{2, 3}, 0.5 }
	id = r.submit(1)
	r.run(20 * time.Millisecond)
	finish = r.finishes[id]
	if finish.Outcome != OutcomePartial || len(finish.Missing) != 1 || finish.Missing[0] != 3 {
		t.Errorf("finished %+v", finish)
	}
}

// TestSettlesBeforeItsObjective answers with enough coverage shortly before
// the objective, not at the deadline.
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
		t.Fatalf("ended early: %+v", finish)
	}
	r.run(10 * time.Millisecond)
	if finish := r.finishes[id]; finish.Outcome != OutcomePartial || len(finish.Answered) != 1 {
		t.Errorf("finished %+v", finish)
	}
}

// TestBudgetOfAShardIsItsOwn lets both leaves of one shard refuse all the
// time: the repeats stay within the budget of that shard, and each query gets
// its answer.
func TestShardBudgetBoundsItsRetries(t *testing.T) {
	r := newRig(t, 2, func(config *Config) {
		config.BudgetByShard, config.ChargeRefusals = true, true
		config.Budget.Capacity, config.Budget.Initial, config.Budget.Debt, config.Budget.Reserve = 4, 4, 0, 1
	})
	const queries = 200
	attempts := 0
	for range queries {
		id := r.submit(1)
		sent := r.sent[0] + r.sent[1]
		for range 20 {
			if len(r.open) > 0 {
				r.refuse(leaf.RefusedShed)
			}
			r.run(20 * time.Millisecond)
		}
		attempts += r.sent[0] + r.sent[1] - sent
		if _, ended := r.finishes[id]; !ended {
			t.Fatalf("query %d has no answer", id)
		}
	}
	if allowed := 4 + extraShare*queries + 1; float64(attempts) > allowed {
		t.Errorf("%d repeats, %.0f are allowed", attempts, allowed)
	}
}

// TestQueryEndsOnceItsCoverageCannotBeReached gives up a query at once when a
// shard that it needs has no leaf and no budget for another attempt.
func TestQueryEndsWhenCoverageBecomesUnattainable(t *testing.T) {
	r := newRig(t, 2, func(config *Config) {
		config.BudgetByShard, config.ChargeRefusals = true, true
		config.EndWithoutBudget, config.RequireCoverage = true, true
		config.Budget.Initial, config.Budget.Debt = 0, 0
	})
	id := r.submit(1)
	r.refuse(leaf.RefusedShed)
	finish, ended := r.finishes[id]
	if !ended || finish.Outcome != OutcomeNotRun || finish.Reason != ReasonBudget {
		t.Errorf("ended %v: %+v", ended, finish)
	}
	if finish.RetryAfter <= 0 {
		t.Error("the client is not told when to come again")
	}
}
