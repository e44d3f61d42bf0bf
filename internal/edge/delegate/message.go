package delegate

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/edge/forward"
)

// The method names of the calls between nodes.
const (
	methodExecute = "relay.execute"
	methodStatus  = "relay.status"
)

// statusRequest asks an executor for its executors.Status.
type statusRequest struct{ From string }

// executeRequest hands a request to an executor. Nodes of several versions exchange executeRequest
// and executeResponse, so the fields keep their names.
type executeRequest struct {
	From       string
	Terms      executors.Terms
	ID         string
	Method     string
	Host, Path string
	Head, Body []byte
	// Patience is how long the client still waits; zero if the client sent no timeout.
	Patience time.Duration
	// Away is the forward.Request.RelayTime of the request.
	Away time.Duration
}

// executeResponse is the answer to a request, or the refusal of the request.
type executeResponse struct {
	// Refusal is the reason why the request did not run; empty if it ran.
	Refusal Refusal
	// Status is the executor's status, so that the caller does not run into the same refusal again.
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

// Refusal is the reason why an executor did not run a request.
type Refusal string

// The refusals of an executor.
const (
	// refusedTerms means that the executor cannot satisfy the terms now.
	refusedTerms Refusal = "terms"
	// refusedVersion means that the executor's configuration changed after the terms were checked.
	refusedVersion Refusal = "version"
	// refusedStopping means that the executor stops before an answer could arrive.
	refusedStopping Refusal = "stopping"
)

func (r *executeResponse) answer(executor string, version uint64) forward.Answer {
	return forward.Answer{
		Fate: r.Fate, Reason: r.Reason, Body: r.Body, Signatures: r.Signatures, Missing: r.Missing,
		RetryAfter: r.RetryAfter, Route: r.Route, Version: version, Answered: r.Answered, Total: r.Total,
		Executor: executor,
	}
}
