package losses

import (
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Cause is the reason for a loss.
type Cause string

// Causes of losses. The cause of a missing shard is derived from the last attempt to it, and from
// the number of its attempts that were still open at the end of the request.
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

// refusalCauses maps the reason of a request that was not run to its cause. Other reasons map to
// CauseRefused. "quarantined" and "trial" are reasons of package forward, which is part of
// micaplank-edge only, so they are spelled out here.
var refusalCauses = map[string]Cause{
	string(dispatch.ReasonNoSnapshot): CauseNoConfiguration,
	string(dispatch.ReasonOverload):   CauseOverload,
	"quarantined":                     CauseQuarantined,
	"trial":                           CauseQuarantined,
}

// refusalCause returns the cause for the reason of a request that was not run.
func refusalCause(reason string) Cause {
	if cause, listed := refusalCauses[reason]; listed {
		return cause
	}
	return CauseRefused
}

const (
	// minSlowLeafRatio is the slowness, relative to an ordinary leaf, from which a leaf is
	// considered slow. It separates slow leaves from the normal variation.
	minSlowLeafRatio = 2
	// minHedgeBudget is the budget, in extra attempts, that a hedge requires: one for the hedge,
	// and one that is reserved for retries (hedge.Bounds.Reserve, which is at most 1 in a node).
	minHedgeBudget = 2
)

// shardAttempts summarizes the attempts to a shard that returned no part.
type shardAttempts struct {
	unanswered int // attempts that were open at the end of the request
	last       event.Attempt
}

// lastEndedAs reports whether the last attempt ended in the given way.
func (s shardAttempts) lastEndedAs(end scatter.AttemptEnd) bool { return s.last.End == string(end) }

// shardCauseRules lists the causes for a shard that returned no part. The first rule that applies
// determines the cause.
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

// shardCause returns why a shard returned no part. attempts must not be empty.
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
