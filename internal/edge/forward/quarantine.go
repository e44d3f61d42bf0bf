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

// Why a Quarantine refuses a request.
const (
	// ReasonQuarantined means that leaves crash under the request.
	ReasonQuarantined dispatch.Reason = "quarantined"
	// ReasonTrial means that leaves crashed under it, and that a trial of it is running
	// or was a moment ago.
	ReasonTrial dispatch.Reason = "trial"
)

// Admission is a Quarantine's decision on a request.
type Admission struct {
	Verdict quarantine.Verdict
	// Reason and RetryAfter go with quarantine.Refuse.
	Reason     dispatch.Reason
	RetryAfter time.Duration
}

// Quarantine keeps requests under which leaves crash from the leaves; package
// quarantine has its rules.
type Quarantine interface {
	// Admit decides whether a request may run. It may block while a trial of the
	// request runs elsewhere, until ctx ends.
	Admit(ctx context.Context, content quarantine.Content) Admission
	// Finished receives the end of each request that was admitted.
	Finished(content quarantine.Content, ended Execution)
}

// Execution is the trace of a request that a Quarantine admitted.
type Execution struct {
	RequestID string
	Route     string
	// Began is when it was submitted, on the clock of the Forwarder.
	Began    time.Duration
	Attempts []scatter.AttemptTrace
	// Trial says that it ran on one leaf alone.
	Trial bool
}

// admit admits a request, after its trial if it needs one. Otherwise it returns false,
// and the answer.
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

// try runs the trial of a request. It returns false, and the answer, unless the trial
// was of one shard out of many and was answered: then the request may run as a whole.
func (f *Forwarder) runTrial(ctx context.Context, matched *route.Route, request *Request, content quarantine.Content) (Answer, bool) {
	planned := f.planQuery(matched, request)
	trial := quarantine.PlanTrial(planned.Shards, planned.Timeout, rand.IntN)
	planned.Shards, planned.Timeout, planned.MaximumSends = trial.Shards, trial.Timeout, trial.Attempts
	startedAt := f.config.Clock.Now()
	result := f.scatterer.Execute(ctx, planned)
	f.quarantine.Finished(content, Execution{RequestID: request.ID, Route: matched.Name, Began: startedAt, Attempts: result.Attempts, Trial: true})
	if trial.Whole {
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
