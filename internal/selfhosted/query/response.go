package query

import (
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// toResponse converts the result of a scattered query into the response or the
// problem for the caller. If leaves rejected the statement as invalid and no shard
// answered, the request itself is invalid.
func (p *queryPlan) toResponse(result scatter.Result[rows.Table]) (*api.QueryResponse, error) {
	switch result.Outcome {
	case dispatch.OutcomeAnswered, dispatch.OutcomePartial:
		return p.mergeResponse(result)
	case dispatch.OutcomeNotRun, dispatch.OutcomeFailed:
		if result.Reason == dispatch.ReasonInvalid && len(result.Answered) == 0 {
			return nil, p.newOutcomeProblem(api.ProblemInvalidRequest, result)
		}
	}
	switch result.Outcome {
	case dispatch.OutcomeNotRun:
		return nil, p.newOutcomeProblem(notRunProblemType(result.Reason), result)
	case dispatch.OutcomeUnknown:
		return nil, p.newOutcomeProblem(api.ProblemOutcomeUnknown, result)
	}
	return nil, p.newOutcomeProblem(api.ProblemFailed, result)
}

// mergeResponse builds the response from the tables of the shards that the
// dispatcher counts as answered, and from no others.
func (p *queryPlan) mergeResponse(result scatter.Result[rows.Table]) (*api.QueryResponse, error) {
	table, err := p.mergeTables(result.Parts)
	if err != nil {
		return nil, p.newProblem(api.ProblemInternal, err.Error())
	}
	missing := result.Missing
	if missing == nil {
		missing = []int{}
	}
	if table.Rows == nil {
		table.Rows = []rows.Row{}
	}
	return &api.QueryResponse{
		RequestID: p.request.RequestID,
		Outcome:   result.Outcome,
		Reason:    result.Reason,
		Snapshot:  result.Snapshot,
		Coverage:  api.Coverage{Answered: len(result.Answered), Total: result.Total, Missing: missing},
		Columns:   table.Columns,
		Rows:      table.Rows,
	}, nil
}

// notRunProblemType returns the problem type for a query that ran on no leaf.
func notRunProblemType(reason dispatch.Reason) api.ProblemType {
	switch reason {
	case dispatch.ReasonStopped:
		return api.ProblemNotRunStopped
	case dispatch.ReasonStopping:
		return api.ProblemNotRunDraining
	case dispatch.ReasonNoLeaf:
		return api.ProblemNotRunNoLeaf
	case dispatch.ReasonNoSnapshot:
		return api.ProblemNotRunNoSnapshot
	case dispatch.ReasonDeadline:
		return api.ProblemNotRunDeadline
	case dispatch.ReasonRefused, dispatch.ReasonInvalid, dispatch.ReasonConnectionLost:
		return api.ProblemNotRunRefused
	case dispatch.ReasonCancelled:
		return api.ProblemNotRunCancelled
	}
	return api.ProblemNotRunOverload
}

// newOutcomeProblem returns a problem that carries the outcome, the reason and the
// retry delay of a scattered query.
func (p *queryPlan) newOutcomeProblem(problemType api.ProblemType, result scatter.Result[rows.Table]) *api.Problem {
	detail := result.Detail
	if detail == "" && result.Total > 0 {
		detail = fmt.Sprintf("%d of %d shards answered.", len(result.Answered), result.Total)
	}
	problem := p.newProblem(problemType, detail)
	problem.Outcome = result.Outcome
	problem.Reason = result.Reason
	problem.RetryAfterMilliseconds = roundUpMilliseconds(result.RetryAfter)
	return problem
}

func roundUpMilliseconds(duration time.Duration) int64 {
	return int64((duration + time.Millisecond - 1) / time.Millisecond)
}
