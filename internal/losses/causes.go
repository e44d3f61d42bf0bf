package losses

import (
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Cause is why something was lost.
type Cause string

// The causes. Those of shards that an answer lacks go by the last attempt at each
// such shard.
const (
	CauseNoConfiguration Cause = "no configuration, or a route unknown while the store is away"
	CauseOverload        Cause = "refused for load"
	CauseQuarantined     Cause = "refused since leaves ended under it"
	CauseRefused         Cause = "refused for another reason"
	CauseExecutorLost    Cause = "lost with the node that ran it"
	CauseLeafFailed      Cause = "the leaf's own failure"
	CauseNotReached      Cause = "leaf not reached"
	CauseLeafRefused     Cause = "leaf refused"
	CauseAnswerLost      Cause = "answer of the leaf lost"
	CauseSlowLeaf        Cause = "leaf known to be slow"
	CauseNoBudget        Cause = "leaf silent, no budget for a second attempt"
	CauseNoHedge         Cause = "leaf silent, no second attempt was sent"
	CauseBothSilent      Cause = "two leaves silent"
	CauseUnknown         Cause = "unknown"
)

// refusalCauses has the cause of a request that was not run, by its reason; any other
// reason is CauseRefused. The two without a constant are those of package forward, which runs
// only in micaplank-edge.
var refusalCauses = map[string]Cause{
	string(dispatch.ReasonNoSnapshot): CauseNoConfiguration,
	string(dispatch.ReasonOverload):   CauseOverload,
	"quarantined":                     CauseQuarantined,
	"trial":                           CauseQuarantined,
}

func refusal(reason string) Cause {
	if cause, known := refusalCauses[reason]; known {
		return cause
	}
	return CauseRefused
}

const (
	// slowLeaf is the slowness, the ratio to an ordinary leaf, from which a leaf counts
	// as slow. Not measured: chosen to tell a slow leaf from the usual spread.
	slowLeaf = 2
	// hedgePrice is the budget that a second attempt wants, in extra attempts: one, and
	// one that is kept for retries (hedge.Bounds.Reserve, 1 at most in a node).
	hedgePrice = 2
)

// shardEnd is how the attempts for a shard ended that brought no part.
type shardEnd struct {
	open int // attempts without an answer at the end of the request
	last event.Attempt
}

func (s shardEnd) lastEnd(end scatter.AttemptEnd) bool { return s.last.End == string(end) }

// shardCauses has the causes of a shard that brought no part; the first that applies
// counts.
var shardCauses = []struct {
	cause   Cause
	applies func(shardEnd) bool
}{
	{CauseBothSilent, func(s shardEnd) bool { return s.open > 1 }},
	{CauseSlowLeaf, func(s shardEnd) bool { return s.open == 1 && s.last.Slowness >= slowLeaf }},
	{CauseNoBudget, func(s shardEnd) bool { return s.open == 1 && s.last.Budget < hedgePrice }},
	{CauseNoHedge, func(s shardEnd) bool { return s.open == 1 }},
	{CauseNotReached, func(s shardEnd) bool { return s.lastEnd(scatter.EndUnsent) }},
	{CauseLeafRefused, func(s shardEnd) bool { return s.lastEnd(scatter.EndRefused) }},
	{CauseAnswerLost, func(s shardEnd) bool { return s.lastEnd(scatter.EndLost) }},
	{CauseLeafFailed, func(s shardEnd) bool { return s.lastEnd(scatter.EndFailed) }},
}

// causeOf returns why a shard brought no part. There is one attempt at least.
func causeOf(attempts []event.Attempt) Cause {
	end := shardEnd{last: attempts[len(attempts)-1]}
	for _, one := range attempts {
		if one.End == string(scatter.EndOpen) {
			end.open++
		}
	}
	for _, candidate := range shardCauses {
		if candidate.applies(end) {
			return candidate.cause
		}
	}
	return CauseUnknown
}
