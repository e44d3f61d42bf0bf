package query

import (
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Refuse returns the problem for a query that this node does not take, with
// the given "not run" type, and counts it. A request of a class that runs at
// most once may have been submitted before, so for it "not run" is not claimed.
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
	problem.RetryAfterMilliseconds = r.config.RetryWhenStale.Milliseconds()
	return problem
}

// unavailable refuses a submission that ran nowhere, where an earlier one of
// the same id may have run.
func (r *Runner) newUnavailableProblem(request api.QueryRequest, detail string) *api.Problem {
	problem := newRequestProblem(request, api.ProblemUnavailable, detail+" This submission ran nowhere; an earlier one of the same id may have.")
	problem.Outcome = dispatch.OutcomeFailed
	problem.RetryAfterMilliseconds = r.config.RetryWhenStale.Milliseconds()
	return problem
}

// known returns the name of a service, or "unknown" for one that a caller made
// up: it would become a label of its own.
func (r *Runner) serviceLabel(service string) string {
	if _, exists := r.config.Catalogs.Current().Services[service]; exists {
		return service
	}
	return unknownServiceLabel
}
