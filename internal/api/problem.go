package api

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// ProblemType is the stable name of a kind of error: a URN that programs may
// compare. A type that was once published never changes its meaning.
type ProblemType string

// The problem types. "Not run" types promise that the request ran nowhere and
// never will.
const (
	ProblemSyntax          ProblemType = "urn:micaplank:problem:syntax"
	ProblemInvalidRequest  ProblemType = "urn:micaplank:problem:invalid-request"
	ProblemInvalidDeadline ProblemType = "urn:micaplank:problem:invalid-deadline"
	ProblemInvalidChange   ProblemType = "urn:micaplank:problem:invalid-change"
	ProblemBodyTooLarge    ProblemType = "urn:micaplank:problem:body-too-large"
	ProblemUnknownPath     ProblemType = "urn:micaplank:problem:unknown-path"
	ProblemUnknownService  ProblemType = "urn:micaplank:problem:unknown-service"
	ProblemUnknownClass    ProblemType = "urn:micaplank:problem:unknown-class"
	ProblemUnknownLeaf     ProblemType = "urn:micaplank:problem:unknown-leaf"
	ProblemUnknownVoter    ProblemType = "urn:micaplank:problem:unknown-voter"
	ProblemUnknownNode     ProblemType = "urn:micaplank:problem:unknown-node"
	ProblemUnknownChange   ProblemType = "urn:micaplank:problem:unknown-change"
	ProblemConflict        ProblemType = "urn:micaplank:problem:conflict"
	ProblemNotRunOverload  ProblemType = "urn:micaplank:problem:not-run-overload"
	ProblemNotRunStopped   ProblemType = "urn:micaplank:problem:not-run-stopped"
	ProblemNotRunNoLeaf    ProblemType = "urn:micaplank:problem:not-run-no-leaf"
	ProblemNotRunSnapshot  ProblemType = "urn:micaplank:problem:not-run-no-snapshot"
	ProblemNotRunDeadline  ProblemType = "urn:micaplank:problem:not-run-deadline"
	ProblemNotRunDraining  ProblemType = "urn:micaplank:problem:not-run-draining"
	ProblemNotRunStale     ProblemType = "urn:micaplank:problem:not-run-stale"
	ProblemNotRunRepeated  ProblemType = "urn:micaplank:problem:not-run-repeated-id"
	ProblemNotRunRefused   ProblemType = "urn:micaplank:problem:not-run-refused"
	ProblemNotRunCancelled ProblemType = "urn:micaplank:problem:not-run-cancelled"
	ProblemFailed          ProblemType = "urn:micaplank:problem:failed"
	ProblemOutcomeUnknown  ProblemType = "urn:micaplank:problem:outcome-unknown"
	ProblemUnavailable     ProblemType = "urn:micaplank:problem:unavailable"
	ProblemInternal        ProblemType = "urn:micaplank:problem:internal"
)

// ProblemDescription documents one problem type.
type ProblemDescription struct {
	Type  ProblemType
	Title string
	// Status is the HTTP status that the problem is sent with.
	Status int
}

// problemDescriptions lists every problem type, in the order of the docs.
var problemDescriptions = []ProblemDescription{
	{ProblemSyntax, "The statement has a syntax error.", http.StatusBadRequest},
	{ProblemInvalidRequest, "The request is malformed.", http.StatusBadRequest},
	{ProblemInvalidDeadline, "The deadline is zero, negative or beyond that of the class.", http.StatusBadRequest},
	{ProblemInvalidChange, "The change breaks a rule of the catalog.", http.StatusUnprocessableEntity},
	{ProblemBodyTooLarge, "The request body is too large.", http.StatusRequestEntityTooLarge},
	{ProblemUnknownPath, "There is nothing at this path, or not by this method.", http.StatusNotFound},
	{ProblemUnknownService, "There is no such service.", http.StatusNotFound},
	{ProblemUnknownClass, "The service has no such class.", http.StatusNotFound},
	{ProblemUnknownLeaf, "There is no such leaf.", http.StatusNotFound},
	{ProblemUnknownVoter, "There is no such voter.", http.StatusNotFound},
	{ProblemUnknownNode, "There is no such node.", http.StatusNotFound},
	{ProblemUnknownChange, "No change with this id is known.", http.StatusNotFound},
	{ProblemConflict, "The change conflicts with the catalog as it is now.", http.StatusConflict},
	{ProblemNotRunOverload, "Not run: the wait would be longer than the deadline.", http.StatusTooManyRequests},
	{ProblemNotRunStopped, "Not run: the service is stopped.", http.StatusServiceUnavailable},
	{ProblemNotRunNoLeaf, "Not run: a needed shard has no usable leaf.", http.StatusServiceUnavailable},
	{ProblemNotRunSnapshot, "Not run: no snapshot of the service is known yet.", http.StatusServiceUnavailable},
	{ProblemNotRunDeadline, "Not run: the deadline passed before the request was sent.", http.StatusServiceUnavailable},
	{ProblemNotRunDraining, "Not run: this node is leaving.", http.StatusServiceUnavailable},
	{ProblemNotRunStale, "Not run: this node cannot show that its catalog is current.", http.StatusServiceUnavailable},
	{ProblemNotRunRepeated, "Not run: a request with this id was taken before.", http.StatusConflict},
	{ProblemNotRunRefused, "Not run: every leaf refused the request.", http.StatusServiceUnavailable},
	{ProblemNotRunCancelled, "Not run: the caller went away.", http.StatusServiceUnavailable},
	{ProblemFailed, "No answer can be given; a part of the request may have run.", http.StatusBadGateway},
	{ProblemOutcomeUnknown, "The request may or may not have run; it is not repeated.", http.StatusGatewayTimeout},
	{ProblemUnavailable, "A part that is needed cannot be reached.", http.StatusServiceUnavailable},
	{ProblemInternal, "The node met an internal error.", http.StatusInternalServerError},
}

// ProblemDescriptions returns every problem type with its title and status, in
// the order of the docs. The caller owns the slice.
func ProblemDescriptions() []ProblemDescription {
	return append([]ProblemDescription(nil), problemDescriptions...)
}

// Problem is an error as sent to callers and operators: a problem document
// after RFC 9457 with the members that micaplank adds.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	// Detail says what went wrong in this case.
	Detail string `json:"detail,omitempty"`
	// Line and Column, both counted from 1, and Expected point into a
	// statement that has a syntax error.
	Line     int    `json:"line,omitempty"`
	Column   int    `json:"column,omitempty"`
	Expected string `json:"expected,omitempty"`
	// RequestID, Outcome and Reason are set for a query.
	RequestID string           `json:"request_id,omitempty"`
	Outcome   dispatch.Outcome `json:"outcome,omitempty"`
	Reason    dispatch.Reason  `json:"reason,omitempty"`
	// RetryAfterMilliseconds repeats the Retry-After header with more
	// precision; zero if no time is known.
	RetryAfterMilliseconds int64 `json:"retry_after_ms,omitempty"`
}

// NewProblem makes a problem of a published type; title and status are those
// of the type. An unpublished type becomes ProblemInternal.
func NewProblem(problemType ProblemType, detail string) *Problem {
	for _, description := range problemDescriptions {
		if description.Type == problemType {
			return &Problem{Type: problemType, Title: description.Title, Status: description.Status, Detail: detail}
		}
	}
	return NewProblem(ProblemInternal, detail)
}

// Error returns the title, the place in the statement if there is one, and the
// detail.
func (p *Problem) Error() string {
	text := strings.TrimSuffix(p.Title, ".")
	if p.Line > 0 {
		text += fmt.Sprintf(": line %d, column %d", p.Line, p.Column)
	}
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	return text
}
