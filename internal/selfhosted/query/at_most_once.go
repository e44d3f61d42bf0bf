package query

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/once"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// inProgressRetryAfter is the retry delay that a caller receives while a request with
// the same id is running.
const inProgressRetryAfter = 100 * time.Millisecond

// routeToOwner runs a query of an at-most-once class at the node that owns its
// request id, which is this node or another one.
func (r *Runner) routeToOwner(ctx context.Context, plan *queryPlan) (*api.QueryResponse, error) {
	id, err := plan.parseRequestID()
	if err != nil {
		return nil, err
	}
	current := r.config.Catalogs.Current()
	owner := once.Owner(current.VoterNames(), id)
	switch owner {
	case "":
		return nil, r.newUnavailableProblem(plan.request, "No voters are configured.")
	case r.config.NodeName:
		return r.runAsOwner(ctx, ownedQuery{plan, id, current.VotersRevision})
	}
	return r.forwardToOwner(ctx, plan, owner)
}

// parseRequestID returns the request id as a ULID, which at-most-once classes require.
func (p *queryPlan) parseRequestID() (ulid.ULID, error) {
	id, err := ulid.ParseStrict(p.request.RequestID)
	if err != nil {
		return id, p.newProblem(api.ProblemInvalidRequest, fmt.Sprintf("Class %s runs a request at most once: request_id must be a ULID (%v).", p.class.Name, err))
	}
	return id, nil
}

// forwardToOwner sends the query to the owner exactly once. If the response is lost, it asks
// the owner for the outcome. If that is not known within once.ForwardedOutcomeWait after the
// deadline, the query may have run, and the caller receives an outcome-unknown problem.
func (r *Runner) forwardToOwner(ctx context.Context, plan *queryPlan, owner string) (*api.QueryResponse, error) {
	started := r.config.Clock.Now()
	forwardCtx, cancel := context.WithTimeout(ctx, plan.timeout+once.ForwardedOutcomeWait)
	defer cancel()
	forward := ForwardedQuery{Service: plan.service.Name, Request: plan.request, Remaining: plan.timeout}
	response, err := r.config.Forwarder.Forward(forwardCtx, owner, forward)
	if err == nil {
		return response, nil
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return nil, problem
	}
	var forwardErr *ForwardError
	if errors.As(err, &forwardErr) && !forwardErr.Sent {
		return nil, r.newUnavailableProblem(plan.request, fmt.Sprintf("The owner of this request id, %s, cannot be reached or does not respond.", owner))
	}
	if response, err, known := r.askOutcome(forwardCtx, owner, forward); known {
		return response, err
	}
	r.logLostForward(plan, owner, r.config.Clock.Now()-started, err)
	unknownOutcome := plan.newProblem(api.ProblemOutcomeUnknown, err.Error())
	unknownOutcome.Outcome = dispatch.OutcomeUnknown
	unknownOutcome.Reason = dispatch.ReasonConnectionLost
	return nil, unknownOutcome
}

// RunForwarded runs a query that another node forwarded because this node owns its id.
// Errors are *api.Problem values.
func (r *Runner) RunForwarded(ctx context.Context, forward ForwardedQuery) (*api.QueryResponse, error) {
	owned, err := r.planForwarded(forward)
	if err != nil {
		return nil, err
	}
	owned.plan.timeout = min(owned.plan.timeout, forward.Remaining)
	if deadline, limited := ctx.Deadline(); limited {
		// The time since the query arrived counts, also if this process was paused in it.
		owned.plan.timeout = min(owned.plan.timeout, time.Until(deadline))
	}
	return r.runAsOwner(ctx, owned)
}

// ownedQuery is a query whose id this node owns by a catalog.
type ownedQuery struct {
	plan *queryPlan
	id   ulid.ULID
	// votersRevision is the revision of the voting set by which this node owns the id.
	votersRevision uint64
}

// planForwarded plans a query that another node forwarded. It returns a problem if this node
// does not own its id.
func (r *Runner) planForwarded(forward ForwardedQuery) (ownedQuery, error) {
	if !r.config.Catalogs.Fresh() {
		return ownedQuery{}, r.newUnavailableProblem(forward.Request, "The owner of this request id cannot show that its catalog is current.")
	}
	current := r.config.Catalogs.Current()
	plan, err := newPlan(r.statementCache, current, forward.Service, forward.Request)
	if err != nil {
		return ownedQuery{}, err
	}
	id, err := plan.parseRequestID()
	if err != nil {
		return ownedQuery{}, err
	}
	if plan.class.Repeatable || once.Owner(current.VoterNames(), id) != r.config.NodeName {
		return ownedQuery{}, r.newUnavailableProblem(forward.Request, "The nodes do not agree yet on the owner of this request id.")
	}
	return ownedQuery{plan, id, current.VotersRevision}, nil
}

// runAsOwner runs a query whose id this node owns if the id is new. The query continues
// after the caller disconnects, so that a later submission of the id receives its outcome.
func (r *Runner) runAsOwner(ctx context.Context, owned ownedQuery) (*api.QueryResponse, error) {
	decision, valid := r.decideAsOwner(owned)
	switch decision.Kind {
	case once.Replay:
		return decision.Outcome.response, decision.Outcome.err()
	case once.InProgress:
		return nil, owned.plan.newInProgressProblem()
	case once.Refuse:
		return nil, r.refuseRequestID(owned.plan, decision, valid)
	}
	if !valid {
		r.config.Ledger.release(owned.id)
		return nil, r.newUnavailableProblem(owned.plan.request, "The owner of this request id cannot show that its catalog is current.")
	}
	if ctx.Err() != nil || owned.plan.timeout <= 0 {
		r.config.Ledger.release(owned.id)
		return nil, owned.plan.newNotBegunProblem("The deadline passed before the owner of this request id began to run it.")
	}
	return r.runAndRecord(context.WithoutCancel(ctx), owned.plan, owned.id)
}

// decideAsOwner decides about an id that this node owns. The decision is valid only if, after
// it was made, the catalog was still fresh, a majority of the voters still acknowledged this
// process, and the ownership was unchanged.
func (r *Runner) decideAsOwner(owned ownedQuery) (decision once.Decision[storedResult], valid bool) {
	decision = r.config.Ledger.begin(owned.id, owned.votersRevision)
	valid = r.config.HasVoterMajority() && r.config.Catalogs.Fresh() && r.config.Ledger.isStillOwned(decision)
	return decision, valid
}

// runAndRecord runs a query that the ledger accepted and records its result. An id
// whose query ran on no leaf is released, so that the caller may submit it again.
func (r *Runner) runAndRecord(ctx context.Context, plan *queryPlan, id ulid.ULID) (*api.QueryResponse, error) {
	response, err := r.scatterQuery(ctx, plan)
	var problem *api.Problem
	if errors.As(err, &problem) && problem.Outcome == dispatch.OutcomeNotRun {
		r.config.Ledger.release(id)
		return nil, err
	}
	r.config.Ledger.finish(id, storedResult{response: response, problem: problem})
	return response, err
}

// newNotBegunProblem returns the problem for a query that its owner did not begin to run.
func (p *queryPlan) newNotBegunProblem(detail string) *api.Problem {
	problem := p.newProblem(api.ProblemNotRunDeadline, detail)
	problem.Outcome = dispatch.OutcomeNotRun
	problem.Reason = dispatch.ReasonDeadline
	return problem
}

// newInProgressProblem returns the problem for an id whose request is running.
func (p *queryPlan) newInProgressProblem() *api.Problem {
	problem := p.newProblem(api.ProblemOutcomeUnknown, "A request with this id is running.")
	problem.Outcome = dispatch.OutcomeUnknown
	problem.RetryAfterMilliseconds = inProgressRetryAfter.Milliseconds()
	return problem
}

// refusalDescriptions explains to callers why a request id was refused.
var refusalDescriptions = map[once.Reason]string{
	once.ReasonFenced:    "its owner has changed, and the previous owner may have run it",
	once.ReasonTooOld:    "it is older than the ids that its owner has recorded",
	once.ReasonFuture:    "the time in it is ahead of the clock of its owner",
	once.ReasonFull:      "its owner cannot record more ids now",
	once.ReasonSuspended: "the voters or their processes have changed, and its owner is not confirmed yet",
}

// refuseRequestID returns the problem for a refused id. The outcome is "not run" only if
// no earlier submission of the id can have run.
func (r *Runner) refuseRequestID(plan *queryPlan, decision once.Decision[storedResult], decisionValid bool) *api.Problem {
	detail := fmt.Sprintf("The request id was refused (%s): %s.", decision.Reason, refusalDescriptions[decision.Reason])
	if decision.MayHaveRun || !decisionValid {
		problem := r.newUnavailableProblem(plan.request, detail)
		problem.RetryAfterMilliseconds = max(problem.RetryAfterMilliseconds, roundUpMilliseconds(decision.RetryAfter))
		return problem
	}
	problem := plan.newProblem(api.ProblemNotRunOverload, detail)
	if decision.Reason != once.ReasonFull {
		problem = plan.newProblem(api.ProblemInvalidRequest, detail)
	}
	problem.Outcome = dispatch.OutcomeNotRun
	problem.RetryAfterMilliseconds = roundUpMilliseconds(decision.RetryAfter)
	return problem
}
