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

// The reasons why a Quarantine refuses a request.
const (
	// ReasonQuarantined means that the request crashes leaves.
	ReasonQuarantined dispatch.Reason = "quarantined"
	// ReasonTrial means that the request has crashed leaves, and that its trial is running or ended
	// a moment ago.
	ReasonTrial dispatch.Reason = "trial"
)

// Admission is a Quarantine's decision on a request.
type Admission struct {
	Verdict quarantine.Verdict
	// Reason and RetryAfter are set if the verdict is quarantine.Refuse.
	Reason     dispatch.Reason
	RetryAfter time.Duration
}

// Quarantine keeps requests that crash leaves away from the leaves. Package quarantine has its
// rules.
type Quarantine interface {
	// Admit decides whether a request may run. While a trial of the request runs elsewhere, it may
	// block until ctx ends.
	Admit(ctx context.Context, content quarantine.Content) Admission
	// RecordExecution receives the execution record of each admitted request.
	RecordExecution(content quarantine.Content, ended Execution)
}

// Execution is the record of a request that a Quarantine admitted.
type Execution struct {
	RequestID string
	Route     string
	// StartedAt is when the request was submitted, on the Forwarder's clock.
	StartedAt time.Duration
	Attempts  []scatter.AttemptTrace
	// Trial is set if the request ran on one leaf only, as a trial.
	Trial bool
}

// admit admits a request, after its trial if it needs one. If the request is refused, or its trial
// already gave the answer, admit returns that answer and false.
func (f *Forwarder) admit(ctx context.Context, matched *route.Route, request *Request, content quarantine.Content) (Answer, bool) {
	admission := f.quarantine.Admit(ctx, content)
	switch admission.Verdict {
	case quarantine.Refuse:
		return Answer{Fate: FateNotRun, Reason: admission.Reason, RetryAfter: admission.RetryAfter}, false
	case quarantine.Trial:
		return f.runTrial(ctx, matched, request, content)
	default:
		return Answer{}, true
	}
}

// runTrial runs the trial of a request. It returns true if the trial covered one shard of several
// and got a result: the request may then run on all shards. Otherwise it returns the answer and
// false.
func (f *Forwarder) runTrial(ctx context.Context, matched *route.Route, request *Request, content quarantine.Content) (Answer, bool) {
	planned := f.planQuery(matched, request)
	trial := quarantine.PlanTrial(planned.Shards, planned.Timeout, rand.IntN)
	planned.Shards, planned.Timeout, planned.MaximumSends = trial.Shards, trial.Timeout, trial.Attempts
	startedAt := f.config.Clock.Now()
	result := f.scatterer.Execute(ctx, planned)
	f.quarantine.RecordExecution(content, Execution{RequestID: request.ID, Route: matched.Name, StartedAt: startedAt, Attempts: result.Attempts, Trial: true})
	if trial.CoversRequest {
		return f.buildAnswer(ctx, matched, planned.Class.Name, result), false
	}
	if len(result.Parts) == 0 {
		return Answer{
			Fate: fateWithoutAnswer(result), Reason: result.Reason, RetryAfter: result.RetryAfter,
			Total: result.Total, Attempts: result.Attempts,
		}, false
	}
	return Answer{}, true
}
