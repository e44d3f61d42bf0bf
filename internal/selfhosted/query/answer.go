package query

import (
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// answer turns the outcome of a scattered query into what the caller receives. A
// statement that leaves refuse, and none has run, is the caller's mistake.
func (p *plan) answer(result scatter.Result[rows.Table]) (*api.QueryResponse, error) {
	switch result.Outcome {
	case dispatch.OutcomeAnswered, dispatch.OutcomePartial:
		return p.merged(result)
	case dispatch.OutcomeNotRun, dispatch.OutcomeFailed:
		if result.Reason == dispatch.ReasonInvalid && len(result.Answered) == 0 {
			return nil, p.fateProblem(api.ProblemInvalidRequest, result)
		}
	}
	switch result.Outcome {
	case dispatch.OutcomeNotRun:
		return nil, p.fateProblem(notRunType(result.Reason), result)
	case dispatch.OutcomeUnknown:
		return nil, p.fateProblem(api.ProblemOutcomeUnknown, result)
	}
	return nil, p.fateProblem(api.ProblemFailed, result)
}

// merged builds the answer from exactly the tables that the dispatcher counts.
func (p *plan) merged(result scatter.Result[rows.Table]) (*api.QueryResponse, error) {
	table, err := p.merge(result.Parts)
	if err != nil {
		return nil, p.problem(api.ProblemInternal, err.Error())
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

// notRunType names the problem for a query that ran nowhere.
func notRunType(reason dispatch.Reason) api.ProblemType {
	switch reason {
	case dispatch.ReasonStopped:
		return api.ProblemNotRunStopped
	case dispatch.ReasonNoLeaf:
		return api.ProblemNotRunNoLeaf
	case dispatch.ReasonNoSnapshot:
		return api.ProblemNotRunSnapshot
	case dispatch.ReasonDeadline:
		return api.ProblemNotRunDeadline
	case dispatch.ReasonRefused, dispatch.ReasonInvalid, dispatch.ReasonConnectionLost:
		return api.ProblemNotRunRefused
	case dispatch.ReasonCancelled:
		return api.ProblemNotRunCancelled
	}
	return api.ProblemNotRunOverload
}

func (p *plan) fateProblem(problemType api.ProblemType, result scatter.Result[rows.Table]) *api.Problem {
	detail := result.Detail
	if detail == "" && result.Total > 0 {
		detail = fmt.Sprintf("%d of %d shards answered.", len(result.Answered), result.Total)
	}
	problem := p.problem(problemType, detail)
	problem.Outcome = result.Outcome
	problem.Reason = result.Reason
	problem.RetryAfterMilliseconds = roundUpMilliseconds(result.RetryAfter)
	return problem
}

func roundUpMilliseconds(duration time.Duration) int64 {
	return int64((duration + time.Millisecond - 1) / time.Millisecond)
}
