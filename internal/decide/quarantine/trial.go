package quarantine

import "time"

// The rule of a trial's start: it is written to the store first, so that no two nodes try
// a request at the same time. While the store is away, a node tries without that. If the
// write is overtaken by another node's, the request is decided on again, MaxTrialWrites
// times in all; if it fails otherwise, the request is refused.
//
// Inputs: whether the store answers, and how the write ended.
//
// Reason: without a store each node refuses by itself a request that crashes leaves, after
// as many trials as all nodes together would take.
//
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

const (
	// TrialWriteTimeout bounds the write before a trial, for which the client waits. It is
	// about fifty times what the store takes as a rule, 4 ms and the way there.
	TrialWriteTimeout = 250 * time.Millisecond
	// MaxTrialWrites is how often the write of a trial is tried while those of other nodes
	// come before it: nodes that saw the same leaves crash report at the same moment. Not
	// measured: chosen so that a client waits for TrialWriteTimeout a few times at most.
	MaxTrialWrites = 3
)

// WritesTrial reports whether a trial is to be written before it begins.
func WritesTrial(storeUnavailable bool) bool { return !storeUnavailable }

// trialShare is the part of the timeout of a request of many shards that its trial may
// take; the rest is for the request itself. Not measured: chosen because both need
// about the time of one attempt.
const trialTimeoutShare = 0.5

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
func PlanTrial(shards []int, timeout time.Duration, randomIndex func(int) int) TrialPlan {
	if len(shards) <= 1 {
		return TrialPlan{Shards: shards, Timeout: timeout, Attempts: 1, Whole: true}
	}
	index := randomIndex(len(shards))
	return TrialPlan{
		Shards:   shards[index : index+1],
		Timeout:  time.Duration(trialTimeoutShare * float64(timeout)),
		Attempts: 1,
	}
}
