package delegate

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/edge/forward"
)

// The methods of the calls between nodes.
const (
	methodExecute = "relay.execute"
	methodStatus  = "relay.status"
)

// statusRequest asks an executor for its executors.Status.
type statusRequest struct{ From string }

// executeRequest delegates a request. Like executeResponse, it is exchanged by nodes of
// several versions: the fields keep their names.
type executeRequest struct {
	From       string
	Terms      executors.Terms
	ID         string
	Method     string
	Host, Path string
	Head, Body []byte
	Patience   time.Duration
	Away       time.Duration
}

// executeResponse is the answer to a request, or its refusal.
type executeResponse struct {
	// Refusal says why the request did not run here; empty if it did.
	Refusal Refusal
	// Status is the executor's, so that no further request meets the same refusal.
	Status executors.Status

	Fate       forward.Fate
	Reason     dispatch.Reason
	Body       []byte
	Signatures []string
	Missing    int
	RetryAfter time.Duration
	Route      string
	Answered   int
	Total      int
}

// Refusal is why an executor did not run a request.
type Refusal string

// The refusals of an executor.
const (
	// refusedTerms means that the executor cannot keep the terms now.
	refusedTerms Refusal = "terms"
	// refusedVersion means that its configuration changed just then.
	refusedVersion Refusal = "version"
)

func (r *executeResponse) answer(executor string, version uint64) forward.Answer {
	return forward.Answer{
		Fate: r.Fate, Reason: r.Reason, Body: r.Body, Signatures: r.Signatures, Missing: r.Missing,
		RetryAfter: r.RetryAfter, Route: r.Route, Version: version, Answered: r.Answered, Total: r.Total,
		Executor: executor,
	}
}
