package api

import (
	"fmt"
	"strings"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// ProblemType is a URN that identifies a kind of error. Programs may compare it, since a
// published type never changes its meaning.
type ProblemType string

// The problem types. The "not run" types guarantee that the request ran on no leaf and
// never will.
const (
	ProblemSyntax           ProblemType = "urn:micaplank:problem:syntax"
	ProblemInvalidRequest   ProblemType = "urn:micaplank:problem:invalid-request"
	ProblemInvalidDeadline  ProblemType = "urn:micaplank:problem:invalid-deadline"
	ProblemInvalidChange    ProblemType = "urn:micaplank:problem:invalid-change"
	ProblemBodyTooLarge     ProblemType = "urn:micaplank:problem:body-too-large"
	ProblemUnknownPath      ProblemType = "urn:micaplank:problem:unknown-path"
	ProblemUnknownService   ProblemType = "urn:micaplank:problem:unknown-service"
	ProblemUnknownClass     ProblemType = "urn:micaplank:problem:unknown-class"
	ProblemUnknownLeaf      ProblemType = "urn:micaplank:problem:unknown-leaf"
	ProblemUnknownVoter     ProblemType = "urn:micaplank:problem:unknown-voter"
	ProblemUnknownNode      ProblemType = "urn:micaplank:problem:unknown-node"
	ProblemUnknownChange    ProblemType = "urn:micaplank:problem:unknown-change"
	ProblemConflict         ProblemType = "urn:micaplank:problem:conflict"
	ProblemNotRunOverload   ProblemType = "urn:micaplank:problem:not-run-overload"
	ProblemNotRunStopped    ProblemType = "urn:micaplank:problem:not-run-stopped"
	ProblemNotRunNoLeaf     ProblemType = "urn:micaplank:problem:not-run-no-leaf"
	ProblemNotRunNoSnapshot ProblemType = "urn:micaplank:problem:not-run-no-snapshot"
	ProblemNotRunDeadline   ProblemType = "urn:micaplank:problem:not-run-deadline"
	ProblemNotRunDraining   ProblemType = "urn:micaplank:problem:not-run-draining"
	ProblemNotRunStale      ProblemType = "urn:micaplank:problem:not-run-stale"
	ProblemNotRunRefused    ProblemType = "urn:micaplank:problem:not-run-refused"
	ProblemNotRunCancelled  ProblemType = "urn:micaplank:problem:not-run-cancelled"
	ProblemFailed           ProblemType = "urn:micaplank:problem:failed"
	ProblemOutcomeUnknown   ProblemType = "urn:micaplank:problem:outcome-unknown"
	ProblemUnavailable      ProblemType = "urn:micaplank:problem:unavailable"
	ProblemInternal         ProblemType = "urn:micaplank:problem:internal"
)

// Problem is the error document for callers and operators: a problem document according
// to RFC 9457 with extension members.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	// Detail describes this occurrence of the problem.
	Detail string `json:"detail,omitempty"`
	// Line and Column are the position of a syntax error in the statement, counted from
	// 1. Expected lists what the parser accepts there.
	Line     int    `json:"line,omitempty"`
	Column   int    `json:"column,omitempty"`
	Expected string `json:"expected,omitempty"`
	// RequestID, Outcome and Reason are set for a query.
	RequestID string           `json:"request_id,omitempty"`
	Outcome   dispatch.Outcome `json:"outcome,omitempty"`
	Reason    dispatch.Reason  `json:"reason,omitempty"`
	// RetryAfterMilliseconds is the retry delay, which the Retry-After header gives in
	// whole seconds. It is 0 if no delay is known.
	RetryAfterMilliseconds int64 `json:"retry_after_ms,omitempty"`
}

// NewProblem returns a problem with the title and status of its type. An unpublished type
// is replaced by ProblemInternal.
func NewProblem(problemType ProblemType, detail string) *Problem {
	for _, description := range problemDescriptions {
		if description.Type == problemType {
			return &Problem{Type: problemType, Title: description.Title, Status: description.Status, Detail: detail}
		}
	}
	return NewProblem(ProblemInternal, detail)
}

// Error returns the title, followed by the position of a syntax error and the detail, as
// far as they are set.
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
