package quarantine

import "time"

// The rule of a trial's start: the start is written to the store first, so that two nodes never try
// a request at the same time. While the store is unavailable, a node tries without a write. If
// another node's write comes first, the node decides again, up to MaxTrialWrites times; if the
// write fails for another reason, the request is refused.
//
// Inputs: whether the store is available, and the result of the write.
//
// Reason: without a store each node on its own refuses a request that crashes leaves, after as many
// trials as all nodes together would need.
//
// The rule of a trial: a suspected request runs on one leaf of one shard, without a second attempt,
// so that it crashes at most one leaf. If the leaf answers, a request of many shards then runs as a
// whole in the remaining time; for a request of one shard the trial's answer is the response.
//
// Inputs: the shards of the request, its timeout, a random number.
//
// Reason: without a trial, requests are refused that merely ran while leaves closed their
// connections: 2 to 18 of 290 requests while leaves restarted, and none of 290 with a trial. The
// shard is chosen at random, since the request may crash leaves of only one of its shards.

const (
	// TrialWriteTimeout bounds the write before a trial, for which the client waits. A write
	// usually takes about 5 ms, a fiftieth of the limit.
	TrialWriteTimeout = 250 * time.Millisecond
	// MaxTrialWrites bounds the attempts to write a trial when writes of other nodes come first:
	// nodes that observed the same crashes report at the same time. The client waits for at most
	// three times TrialWriteTimeout.
	MaxTrialWrites = 3
)

// MustWriteTrial reports whether a trial must be written to the store before it begins.
func MustWriteTrial(storeUnavailable bool) bool { return !storeUnavailable }

// trialTimeoutShare is the part of the timeout of a request of many shards that its trial may take.
// The trial and the request itself each need about the time of one attempt.
const trialTimeoutShare = 0.5

// TrialPlan describes how a trial runs.
type TrialPlan struct {
	// Shards holds the single shard of the trial.
	Shards []int
	// Timeout bounds the trial, and Attempts is the number of leaves that it may reach.
	Timeout  time.Duration
	Attempts int
	// CoversRequest reports whether the request has no other shards, so that the trial's answer is
	// the response.
	CoversRequest bool
}

// PlanTrial plans the trial of a request of one or more shards. randomIndex returns a random number
// in [0, n); it is called only if there are several shards.
func PlanTrial(shards []int, timeout time.Duration, randomIndex func(int) int) TrialPlan {
	if len(shards) <= 1 {
		return TrialPlan{Shards: shards, Timeout: timeout, Attempts: 1, CoversRequest: true}
	}
	index := randomIndex(len(shards))
	return TrialPlan{
		Shards:   shards[index : index+1],
		Timeout:  time.Duration(trialTimeoutShare * float64(timeout)),
		Attempts: 1,
	}
}
