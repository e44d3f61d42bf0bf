package query

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/once"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// retryInProgress is when a caller may ask again for the outcome of a request
// that is still running.
const retryInProgress = 100 * time.Millisecond

// queryOnce runs a query that must not run twice: at the owner of its id.
func (r *Runner) queryOnce(ctx context.Context, planned *plan) (*api.QueryResponse, error) {
	id, err := planned.onceID()
	if err != nil {
		return nil, err
	}
	current := r.config.Catalogs.Current()
	owner := once.Owner(current.VoterNames(), id)
	switch owner {
	case "":
		return nil, r.unavailable(planned.request, "No voters are configured.")
	case r.config.Self:
		return r.own(ctx, planned, id, current)
	}
	return r.forward(ctx, planned, owner)
}

func (p *plan) onceID() (ulid.ULID, error) {
	id, err := ulid.ParseStrict(p.request.RequestID)
	if err != nil {
		return id, p.problem(api.ProblemInvalidRequest, fmt.Sprintf("Class %s runs a request at most once: request_id must be a ULID (%v).", p.class.Name, err))
	}
	return id, nil
}

// forward asks the owner, once. If its answer is lost, the query may have run,
// and that is what the caller receives.
func (r *Runner) forward(ctx context.Context, planned *plan, owner string) (*api.QueryResponse, error) {
	waiting, cancel := context.WithTimeout(ctx, planned.timeout)
	defer cancel()
	answer, err := r.config.Forwarder.Forward(waiting, owner, Forward{
		Service:   planned.service.Name,
		Request:   planned.request,
		Remaining: planned.timeout,
	})
	if err == nil {
		return answer, nil
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return nil, problem
	}
	var failed *ForwardError
	if errors.As(err, &failed) && !failed.Sent {
		return nil, r.unavailable(planned.request, fmt.Sprintf("The owner of this request id, %s, cannot be reached.", owner))
	}
	lost := planned.problem(api.ProblemOutcomeUnknown, err.Error())
	lost.Outcome = dispatch.OutcomeUnknown
	lost.Reason = dispatch.ReasonConnectionLost
	return nil, lost
}

// Own runs a query that another node forwarded because this node owns its id.
// Errors are *api.Problem values.
func (r *Runner) Own(ctx context.Context, forward Forward) (*api.QueryResponse, error) {
	if !r.config.Catalogs.Fresh() {
		return nil, r.unavailable(forward.Request, "The owner of this request id cannot show that its catalog is current.")
	}
	current := r.config.Catalogs.Current()
	planned, err := newPlan(r.statements, current, forward.Service, forward.Request)
	if err != nil {
		return nil, err
	}
	planned.timeout = min(planned.timeout, forward.Remaining)
	id, err := planned.onceID()
	if err != nil {
		return nil, err
	}
	if planned.class.Repeatable || once.Owner(current.VoterNames(), id) != r.config.Self {
		return nil, r.unavailable(forward.Request, "The nodes do not agree yet on the owner of this request id.")
	}
	return r.own(ctx, planned, id, current)
}

// own decides about an id that this node owns by a catalog. The query goes on when the
// caller disconnects, so that a later submission learns its outcome.
func (r *Runner) own(ctx context.Context, planned *plan, id ulid.ULID, current *catalog.Catalog) (*api.QueryResponse, error) {
	decision := r.config.Ledger.begin(id, current.VotersRevision)
	// The decision counts only if the node was still fresh and in touch with
	// the voters after it was made, and its ownership lasted until then.
	fresh := r.config.Acknowledged() && r.config.Catalogs.Fresh() && r.config.Ledger.holds(decision)
	switch decision.Kind {
	case once.Replay:
		return decision.Outcome.answer, decision.Outcome.err()
	case once.InProgress:
		return nil, planned.inProgress()
	case once.Refuse:
		return nil, r.refuseOnce(planned, decision, fresh)
	}
	if !fresh {
		r.config.Ledger.release(id)
		return nil, r.unavailable(planned.request, "The owner of this request id cannot show that its catalog is current.")
	}
	return r.runOnce(context.WithoutCancel(ctx), planned, id)
}

// runOnce runs a query that the ledger let through, and records its fate.
func (r *Runner) runOnce(ctx context.Context, planned *plan, id ulid.ULID) (*api.QueryResponse, error) {
	answer, err := r.scatter(ctx, planned)
	var problem *api.Problem
	if errors.As(err, &problem) && problem.Outcome == dispatch.OutcomeNotRun {
		r.config.Ledger.release(id)
		return nil, err
	}
	r.config.Ledger.finish(id, fate{answer: answer, problem: problem})
	return answer, err
}

func (p *plan) inProgress() *api.Problem {
	problem := p.problem(api.ProblemOutcomeUnknown, "A request with this id is running.")
	problem.Outcome = dispatch.OutcomeUnknown
	problem.RetryAfterMilliseconds = retryInProgress.Milliseconds()
	return problem
}

// refusalTexts says in words why an id is refused.
var refusalTexts = map[once.Reason]string{
	once.ReasonFenced:    "its owner has changed, and the one before may have run it",
	once.ReasonTooOld:    "it is older than the ids that are remembered",
	once.ReasonFuture:    "the time in it is ahead of the clock of its owner",
	once.ReasonFull:      "no more ids can be remembered now",
	once.ReasonSuspended: "the voters or their processes have changed, and its owner is not certain yet",
}

// refuseOnce returns the problem for a refused id. "Not run" is said only if no
// earlier submission of the id can have run.
func (r *Runner) refuseOnce(planned *plan, decision once.Decision[fate], fresh bool) *api.Problem {
	detail := fmt.Sprintf("The request id was refused (%s): %s.", decision.Reason, refusalTexts[decision.Reason])
	if decision.MayHaveRun || !fresh {
		problem := r.unavailable(planned.request, detail)
		problem.RetryAfterMilliseconds = max(problem.RetryAfterMilliseconds, roundUpMilliseconds(decision.RetryAfter))
		return problem
	}
	problem := planned.problem(api.ProblemNotRunOverload, detail)
	if decision.Reason != once.ReasonFull {
		problem = planned.problem(api.ProblemInvalidRequest, detail)
	}
	problem.Outcome = dispatch.OutcomeNotRun
	problem.RetryAfterMilliseconds = roundUpMilliseconds(decision.RetryAfter)
	return problem
}
