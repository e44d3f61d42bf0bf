package relay

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/edge/forward"
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
	// Fresh says that it is in touch with the store: its configuration and
	// leaves are the newest.
	Fresh bool
	// Cordoned lists the zones that it knows to be out of service.
	Cordoned []string
}

// Terms are what a request must be run under.
type Terms struct {
	// Version is the configuration: what a client sees of one node must not go
	// back to an older version.
	Version uint64
	// Fresh says that the node that took the request is in touch with the
	// store. Then the one that runs it must be, too. In an outage that both
	// meet, neither knows more than the other.
	Fresh bool
	// Cordoned lists the zones that the node which took the request knows to be
	// out of service. The one that runs it must know of them, too: it may have
	// heard of them later.
	Cordoned []string
}

// takes reports whether an executor of a status takes requests under the terms.
func (s Status) takes(terms Terms) bool {
	return s.Accepting && s.Version == terms.Version && (s.Fresh || !terms.Fresh) && s.knows(terms.Cordoned)
}

// knows reports whether the executor knows that zones are out of service.
func (s Status) knows(cordoned []string) bool {
	return !slices.ContainsFunc(cordoned, func(zone string) bool { return !slices.Contains(s.Cordoned, zone) })
}

// executeRequest hands a request on.
type executeRequest struct {
	From       string
	Terms      Terms
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
