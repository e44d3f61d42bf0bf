package quarantine

import (
	"slices"
	"testing"
	"time"
)

// TestPlanTrialUsesOneShardAndOneAttempt plans trials of requests of one shard and of several
// shards.
func TestPlanTrialUsesOneShardAndOneAttempt(t *testing.T) {
	last := func(count int) int { return count - 1 }
	for _, test := range []struct {
		shards  []int
		want    []int
		timeout time.Duration
		whole   bool
	}{
		{[]int{7}, []int{7}, time.Second, true},
		{[]int{7, 8, 9}, []int{9}, 500 * time.Millisecond, false},
	} {
		plan := PlanTrial(test.shards, time.Second, last)
		if !slices.Equal(plan.Shards, test.want) || plan.Timeout != test.timeout || plan.CoversRequest != test.whole || plan.Attempts != 1 {
			t.Errorf("shards %v: plan %+v, want shards %v, timeout %v, whole %v and 1 attempt", test.shards, plan, test.want, test.timeout, test.whole)
		}
	}
}

// TestTrialIsWrittenUnlessStoreIsUnavailable also checks that a hold lasts for the minimum lifetime
// of its record.
func TestTrialIsWrittenUnlessStoreIsUnavailable(t *testing.T) {
	if !MustWriteTrial(false) || MustWriteTrial(true) {
		t.Error("trial written to an unavailable store, or not written to an available one")
	}
	if hold := DefaultConfig("self").HoldDuration; hold != RecordTTL/2 {
		t.Errorf("HoldDuration %s, want half of RecordTTL %s", hold, RecordTTL)
	}
}
