package query

import (
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Refuse returns a problem of the given "not run" type for a query that this node does
// not accept, and counts the query. A request of an at-most-once class gets an
// unavailable problem instead, since an earlier submission of its id may have run.
func (r *Runner) Refuse(service string, request api.QueryRequest, notRun api.ProblemType) *api.Problem {
	problem := r.newRefusalProblem(service, request, notRun)
	r.config.Metrics.observe(r.serviceLabel(service), request.Class, nil, problem, 0)
	return problem
}

func (r *Runner) newRefusalProblem(service string, request api.QueryRequest, notRun api.ProblemType) *api.Problem {
	class, exists := r.config.Catalogs.Current().Services[service].Classes[request.Class]
	if request.RequestID != "" && (!exists || !class.Repeatable) {
		return r.newUnavailableProblem(request, "This node takes no requests now.")
	}
	problem := newRequestProblem(request, notRun, "")
	problem.Outcome = dispatch.OutcomeNotRun
	problem.RetryAfterMilliseconds = r.config.StaleRetryAfter.Milliseconds()
	return problem
}

// newUnavailableProblem returns the problem for a submission that ran on no leaf while
// an earlier submission of the same id may have run.
func (r *Runner) newUnavailableProblem(request api.QueryRequest, detail string) *api.Problem {
	problem := newRequestProblem(request, api.ProblemUnavailable, detail+" This submission ran nowhere; an earlier one of the same id may have.")
	problem.Outcome = dispatch.OutcomeFailed
	problem.RetryAfterMilliseconds = r.config.StaleRetryAfter.Milliseconds()
	return problem
}

// serviceLabel returns the metric label for a service: its name, or "unknown" for a
// service that is not in the catalog, so that callers cannot add time series.
func (r *Runner) serviceLabel(service string) string {
	if _, exists := r.config.Catalogs.Current().Services[service]; exists {
		return service
	}
	return unknownServiceLabel
}
