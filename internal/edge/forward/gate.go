package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Why a Gate has a request refused.
const (
	// ReasonQuarantined means that leaves end under the request.
	ReasonQuarantined dispatch.Reason = "quarantined"
	// ReasonTrial means that leaves ended under it, and that it is being tried on
	// one alone.
	ReasonTrial dispatch.Reason = "trial"
)

// Pass is a Gate's word on a request.
type Pass struct {
	Verdict quarantine.Verdict
	// Reason and RetryAfter go with quarantine.Refuse.
	Reason     dispatch.Reason
	RetryAfter time.Duration
}

// Gate keeps requests under which leaves end from the leaves.
type Gate interface {
	// Enter decides whether a request may run.
	Enter(ctx context.Context, content quarantine.Content) Pass
	// Ended is told of a request that ran.
	Ended(content quarantine.Content, tried Tried)
}

// Tried is what became of a request that a Gate let in.
type Tried struct {
	RequestID string
	Route     string
	Attempts  []scatter.AttemptTrace
	// Trial says that it was tried on one leaf alone.
	Trial bool
}

// enter lets a request in, after its trial if it needs one. Otherwise it returns
// false, and the answer.
func (f *Forwarder) enter(ctx context.Context, matched *route.Route, request *Request, content quarantine.Content) (Answer, bool) {
	pass := f.gate.Enter(ctx, content)
	switch pass.Verdict {
	case quarantine.Refuse:
		return Answer{Fate: FateNotRun, Reason: pass.Reason, RetryAfter: pass.RetryAfter}, false
	case quarantine.Trial:
		return f.try(ctx, matched, request, content)
	default:
		return Answer{}, true
	}
}

// try runs the trial of a request. It returns false, and the answer, unless the trial
// was of one shard out of many and was answered: then the request may run as a whole.
func (f *Forwarder) try(ctx context.Context, matched *route.Route, request *Request, content quarantine.Content) (Answer, bool) {
	planned := f.plan(matched, request)
	trial := quarantine.PlanTrial(planned.Shards, planned.Timeout, rand.IntN)
	planned.Shards, planned.Timeout, planned.MaximumSends = trial.Shards, trial.Timeout, trial.Attempts
	result := f.scatterer.Execute(ctx, planned)
	f.gate.Ended(content, Tried{RequestID: request.ID, Route: matched.Name, Attempts: result.Attempts, Trial: true})
	if trial.Whole {
		return f.answerOf(ctx, matched, planned.Class.Name, result), false
	}
	if len(result.Parts) == 0 {
		return Answer{
			Fate: failureOf(result), Reason: result.Reason, RetryAfter: result.RetryAfter,
			Total: result.Total, Attempts: result.Attempts,
		}, false
	}
	return Answer{}, true
}
