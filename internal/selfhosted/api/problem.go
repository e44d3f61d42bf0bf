package api

import (
	"fmt"
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
	ProblemNotRunRefused   ProblemType = "urn:micaplank:problem:not-run-refused"
	ProblemNotRunCancelled ProblemType = "urn:micaplank:problem:not-run-cancelled"
	ProblemFailed          ProblemType = "urn:micaplank:problem:failed"
	ProblemOutcomeUnknown  ProblemType = "urn:micaplank:problem:outcome-unknown"
	ProblemUnavailable     ProblemType = "urn:micaplank:problem:unavailable"
	ProblemInternal        ProblemType = "urn:micaplank:problem:internal"
)

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
