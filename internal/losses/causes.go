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
	CauseQuarantined     Cause = "refused since leaves shard under it"
	CauseRefused         Cause = "refused for another reason"
	CauseExecutorLost    Cause = "lost with the node that ran it"
	CauseLeafFailed      Cause = "the leaf's own failure"
	CauseLeafUnreachable Cause = "leaf not reached"
	CauseLeafRefused     Cause = "leaf refused"
	CauseResponseLost    Cause = "answer of the leaf lost"
	CauseSlowLeaf        Cause = "leaf known to be slow"
	CauseNoBudget        Cause = "leaf silent, no budget for a second attempt"
	CauseNoHedge         Cause = "leaf silent, no second attempt was sent"
	CauseHedgeUnanswered Cause = "two leaves silent"
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

func refusalCause(reason string) Cause {
	if cause, listed := refusalCauses[reason]; listed {
		return cause
	}
	return CauseRefused
}

const (
	// slowLeaf is the slowness, the ratio to an ordinary leaf, from which a leaf counts
	// as slow. Not measured: chosen to tell a slow leaf from the usual spread.
	minSlowLeafRatio = 2
	// hedgePrice is the budget that a second attempt wants, in extra attempts: one, and
	// one that is kept for retries (hedge.Bounds.Reserve, 1 at most in a node).
	minHedgeBudget = 2
)

// shardEnd is how the attempts for a shard ended that brought no part.
type shardAttempts struct {
	unanswered int // attempts without an answer at the end of the request
	last       event.Attempt
}

func (s shardAttempts) lastEndedAs(end scatter.AttemptEnd) bool { return s.last.End == string(end) }

// shardCauses has the causes of a shard that brought no part; the first that applies
// counts.
var shardCauseRules = []struct {
	cause   Cause
	applies func(shardAttempts) bool
}{
	{CauseHedgeUnanswered, func(s shardAttempts) bool { return s.unanswered > 1 }},
	{CauseSlowLeaf, func(s shardAttempts) bool { return s.unanswered == 1 && s.last.Slowness >= minSlowLeafRatio }},
	{CauseNoBudget, func(s shardAttempts) bool { return s.unanswered == 1 && s.last.Budget < minHedgeBudget }},
	{CauseNoHedge, func(s shardAttempts) bool { return s.unanswered == 1 }},
	{CauseLeafUnreachable, func(s shardAttempts) bool { return s.lastEndedAs(scatter.EndUnsent) }},
	{CauseLeafRefused, func(s shardAttempts) bool { return s.lastEndedAs(scatter.EndRefused) }},
	{CauseResponseLost, func(s shardAttempts) bool { return s.lastEndedAs(scatter.EndLost) }},
	{CauseLeafFailed, func(s shardAttempts) bool { return s.lastEndedAs(scatter.EndFailed) }},
}

// causeOf returns why a shard brought no part. There is one attempt at least.
func shardCause(attempts []event.Attempt) Cause {
	shard := shardAttempts{last: attempts[len(attempts)-1]}
	for _, attempt := range attempts {
		if attempt.End == string(scatter.EndOpen) {
			shard.unanswered++
		}
	}
	for _, rule := range shardCauseRules {
		if rule.applies(shard) {
			return rule.cause
		}
	}
	return CauseUnknown
}
