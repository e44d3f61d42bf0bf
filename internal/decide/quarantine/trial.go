package quarantine

import "time"

// The rule of a trial: a suspected request runs on one leaf of one shard, with no
// second attempt, so that it closes one leaf at most. If the leaf answers, a request of
// many shards then runs as a whole in the time that is left; for a request of one shard
// the trial's answer is the answer.
//
// Inputs: the shards of the request, its timeout, a random number.
//
// Reason: without a trial a request is refused that did nothing but run beside leaves
// that closed: 2 to 18 of 290 requests beside leaves that restart, and none of 290 in
// each of four plays with it. The shard is drawn at random, since only one of many may
// be what the request closes.

// trialShare is the part of the timeout of a request of many shards that its trial may
// take; the rest is for the request itself. Not measured: chosen because both need
// about the time of one attempt.
const trialShare = 0.5

// TrialPlan is what the trial of a request runs.
type TrialPlan struct {
	// Shards holds the one shard that it runs on.
	Shards []int
	// Timeout bounds the trial, and Attempts is how many leaves it may reach.
	Timeout  time.Duration
	Attempts int
	// Whole says that the request has no other shards: the answer of its trial is the
	// answer.
	Whole bool
}

// PlanTrial plans the trial of a request of some shards, one or more. Draw returns a
// random number from 0 to below its argument; it is called only if there are several.
func PlanTrial(shards []int, timeout time.Duration, draw func(int) int) TrialPlan {
	if len(shards) <= 1 {
		return TrialPlan{Shards: shards, Timeout: timeout, Attempts: 1, Whole: true}
	}
	chosen := draw(len(shards))
	return TrialPlan{
		Shards:   shards[chosen : chosen+1],
		Timeout:  time.Duration(trialShare * float64(timeout)),
		Attempts: 1,
	}
}
