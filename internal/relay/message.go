package relay

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/forward"
)

// The methods of the calls between nodes.
const (
	methodExecute = "relay.execute"
	methodStatus  = "relay.status"
)

// statusRequest asks an executor for its Status.
type statusRequest struct{ From string }

// Status is what an executor says of itself.
type Status struct {
	// Version is that of its configuration.
	Version uint64
	// Accepting says that it runs requests of others.
	Accepting bool
}

// executeRequest hands a request on.
type executeRequest struct {
	From string
	// Version is the configuration that the request must run under: what a
	// client sees of one node must not go back to an older version.
	Version    uint64
	ID         string
	Method     string
	Host, Path string
	Head, Body []byte
	Patience   time.Duration
}

// executeResponse is the answer to a request, or its refusal.
type executeResponse struct {
	// Refusal says why the request did not run here; empty if it did.
	Refusal Refusal
	// Status is the executor's, so that a refusal is not met again.
	Status Status

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
	refusedVersion Refusal = "version"
	refusedBusy    Refusal = "not_accepting"
)

func (r *executeResponse) answer(executor string, version uint64) forward.Answer {
	return forward.Answer{
		Fate: r.Fate, Reason: r.Reason, Body: r.Body, Signatures: r.Signatures, Missing: r.Missing,
		RetryAfter: r.RetryAfter, Route: r.Route, Version: version, Answered: r.Answered, Total: r.Total,
		Executor: executor,
	}
}
