package query

import (
	"context"
	"errors"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/once"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

const (
	// askInterval is the time before the owner is asked for an outcome, and between two questions.
	askInterval = inProgressRetryAfter
	// maxFailedAsks is the number of questions without a response after which the owner counts as
	// lost, and the outcome with it.
	maxFailedAsks = 3
)

// askOutcome asks the owner what became of a forwarded query whose response was lost, until the
// query has ended or ctx ends. known is false if the owner cannot tell.
func (r *Runner) askOutcome(ctx context.Context, owner string, forward ForwardedQuery) (response *api.QueryResponse, err error, known bool) {
	failed := 0
	for failed < maxFailedAsks && clock.Sleep(ctx, askInterval) {
		response, err = r.config.Forwarder.AskOutcome(ctx, owner, forward)
		var problem *api.Problem
		switch {
		case err == nil:
			return response, nil, true
		case !errors.As(err, &problem):
			failed++
		case problem.Type == api.ProblemUnavailable:
			return nil, nil, false // the owner no longer knows, or not yet
		case !isInProgress(problem):
			return nil, problem, true
		}
	}
	return nil, nil, false
}

// isInProgress reports whether a problem is that of newInProgressProblem. A recorded unknown outcome
// has no retry delay.
func isInProgress(problem *api.Problem) bool {
	return problem.Type == api.ProblemOutcomeUnknown && problem.RetryAfterMilliseconds > 0
}

// ForwardedOutcome returns the outcome of a query that another node forwarded earlier. If this
// node has not begun to run the query, it records that it never will: the query may still be on
// its way on a connection that the other node has given up. Errors are *api.Problem values. An
// unavailable problem means that the outcome is not known here; a refusal would only apply to
// another submission of the id.
func (r *Runner) ForwardedOutcome(forward ForwardedQuery) (*api.QueryResponse, error) {
	notKnown := r.newUnavailableProblem(forward.Request, "The owner of this request id cannot tell its outcome.")
	owned, err := r.planForwarded(forward)
	if err != nil {
		return nil, notKnown
	}
	decision, valid := r.decideAsOwner(owned)
	switch {
	case decision.Kind == once.Replay:
		return decision.Outcome.response, decision.Outcome.err()
	case decision.Kind == once.InProgress:
		return nil, owned.plan.newInProgressProblem()
	case decision.Kind == once.Refuse:
		return nil, notKnown
	case !valid:
		r.config.Ledger.release(owned.id)
		return nil, notKnown
	}
	problem := owned.plan.newNotBegunProblem("The owner of this request id did not begin to run it, and will not run this id any more.")
	r.config.Ledger.finish(owned.id, storedResult{problem: problem})
	return nil, problem
}
