package api

import "net/http"

// ProblemDescription documents one problem type.
type ProblemDescription struct {
	Type  ProblemType
	Title string
	// Status is the HTTP status of responses with the problem.
	Status int
	// Advice describes for callers or operators how to handle the problem.
	Advice string
}

// problemDescriptions lists every problem type, in the order of the errors page.
var problemDescriptions = []ProblemDescription{
	{ProblemSyntax, "The statement has a syntax error.", http.StatusBadRequest,
		"Correct the statement at the position given by line and column; expected lists what can stand there."},
	{ProblemInvalidRequest, "The request is malformed.", http.StatusBadRequest,
		"Correct the request; the same request fails again. If a leaf refused the statement, the detail is the message of the leaf."},
	{ProblemInvalidDeadline, "The deadline is zero, negative or beyond that of the class.", http.StatusBadRequest,
		"Send a deadline between 1 ms and the deadline of the class, or none."},
	{ProblemInvalidChange, "The change breaks a rule of the catalog.", http.StatusUnprocessableEntity,
		"Correct the change; the detail names the violated rule."},
	{ProblemBodyTooLarge, "The request body is too large.", http.StatusRequestEntityTooLarge,
		"Send a smaller body; the detail names the limit."},
	{ProblemUnknownPath, "There is nothing at this path, or not by this method.", http.StatusNotFound,
		"Correct the path or the method."},
	{ProblemUnknownService, "There is no such service.", http.StatusNotFound,
		"Correct the name; `show services` lists them."},
	{ProblemUnknownClass, "The service has no such class.", http.StatusNotFound,
		"Correct the name; `show classes of SERVICE` lists them."},
	{ProblemUnknownLeaf, "There is no such leaf.", http.StatusNotFound,
		"Correct the address; `show leaves` lists them."},
	{ProblemUnknownVoter, "There is no such voter.", http.StatusNotFound,
		"Correct the name; `show voters` lists them."},
	{ProblemUnknownNode, "There is no such node.", http.StatusNotFound,
		"Correct the name; `show nodes` lists them. A voter must be an alive member when it is added."},
	{ProblemUnknownChange, "No change with this id is known.", http.StatusNotFound,
		"Correct the id. A change that was sent under this token a moment ago may still take effect: ask again."},
	{ProblemConflict, "The change conflicts with the catalog as it is now.", http.StatusConflict,
		"Read the current catalog and decide again. For a change with `if revision`, the catalog is at another revision."},
	{ProblemNotRunOverload, "Not run: the wait would be longer than the deadline.", http.StatusTooManyRequests,
		"Ask again after Retry-After, or at another node, or with a longer deadline."},
	{ProblemNotRunStopped, "Not run: the service is stopped.", http.StatusServiceUnavailable,
		"Ask again when operators have started the service."},
	{ProblemNotRunNoLeaf, "Not run: a needed shard has no usable leaf.", http.StatusServiceUnavailable,
		"Ask again after Retry-After; or accept less coverage."},
	{ProblemNotRunNoSnapshot, "Not run: no snapshot of the service is known yet.", http.StatusServiceUnavailable,
		"Ask again after a moment, or at another node."},
	{ProblemNotRunDeadline, "Not run: the deadline passed before the request was sent.", http.StatusServiceUnavailable,
		"Ask again with a longer deadline, or at another node."},
	{ProblemNotRunDraining, "Not run: this node is leaving.", http.StatusServiceUnavailable,
		"Ask another node, over a new connection."},
	{ProblemNotRunStale, "Not run: this node cannot show that its catalog is current.", http.StatusServiceUnavailable,
		"Ask another node, or this one after Retry-After."},
	{ProblemNotRunRefused, "Not run: every leaf refused the request.", http.StatusServiceUnavailable,
		"Ask again after Retry-After, or at another node."},
	{ProblemNotRunCancelled, "Not run: the caller went away.", http.StatusServiceUnavailable,
		"No action is needed, since the caller has disconnected."},
	{ProblemFailed, "No answer can be given; a part of the request may have run.", http.StatusBadGateway,
		"Ask again if the request may be repeated: a class declared `repeatable` may."},
	{ProblemOutcomeUnknown, "The request may or may not have run; it is not repeated.", http.StatusGatewayTimeout,
		"Ask again under the same request id: that never runs it a second time, and returns the outcome if the owner of the id still has it. Do not send it under a new id unless running twice does no harm."},
	{ProblemUnavailable, "This cannot be done now: a part that is needed is away or not certain yet.", http.StatusServiceUnavailable,
		"Ask again after Retry-After, or at another node. For a request that runs at most once: under the same id, if an earlier submission of it may have run; under a new id, made after that time, if there was none. An id that is refused as fenced is never taken later."},
	{ProblemInternal, "The node met an internal error.", http.StatusInternalServerError,
		"Report the problem with the request id; the log of the node contains the error."},
}

// ProblemDescriptions returns the descriptions of all problem types, in the order of the
// errors page. The caller owns the slice.
func ProblemDescriptions() []ProblemDescription {
	return append([]ProblemDescription(nil), problemDescriptions...)
}
