// Package api defines the JSON types, paths and errors of a node's HTTP interface for
// callers and operators. The gateway and micactl share this package, so that server and
// client always agree.
package api

import (
	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/rows"
)

// Paths of the HTTP interface. A name in braces stands for one path segment.
const (
	// QueryPath accepts a POST of a QueryRequest.
	QueryPath = "/v1/services/{service}/query"
	// StatementsPath accepts a POST of a StatementRequest.
	StatementsPath = "/v1/operator/statements"
	// ChangePath returns the StatementResponse of an earlier change on GET. The optional
	// query parameter timeout_ms limits the wait.
	ChangePath = "/v1/operator/changes/{id}"
	// StatusPath returns a StatusResponse on GET.
	StatusPath = "/v1/operator/status"
	// CatalogPath returns the catalog in the encoding of catalog.Encode on GET.
	CatalogPath = "/v1/operator/catalog"
	// DrainPath starts the planned stop of a node on POST. The response has status 202 and
	// a DrainResponse.
	DrainPath = "/v1/operator/nodes/{name}/drain"
)

// TimeoutParameter is the query parameter of ChangePath that limits how long the node
// waits, in milliseconds.
const TimeoutParameter = "timeout_ms"

// ProblemContentType is the media type of a Problem.
const ProblemContentType = "application/problem+json"

// QueryRequest is a select or an insert on a service.
type QueryRequest struct {
	// RequestID identifies the request and is repeated in the response. The node
	// generates one if it is empty and the class is repeatable.
	RequestID string `json:"request_id"`
	// Class is the name of a class of the service.
	Class     string `json:"class"`
	Statement string `json:"statement"`
	// DeadlineMilliseconds is the time until the deadline, counted from the arrival at
	// the node. 0 means the deadline of the class; in JSON the field is then omitted.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
	// MinimumCoverage is the smallest fraction of the shards, from 0 to 1, that the
	// caller accepts before the deadline. nil means the coverage of the class.
	MinimumCoverage *float64 `json:"minimum_coverage,omitempty"`
}

// QueryResponse is the response to a QueryRequest, with status 200. A request without a
// result gets a Problem instead.
type QueryResponse struct {
	RequestID string           `json:"request_id"`
	Outcome   dispatch.Outcome `json:"outcome"`
	Reason    dispatch.Reason  `json:"reason,omitempty"`
	// Snapshot is the single snapshot that all rows come from.
	Snapshot catalog.Snapshot `json:"snapshot"`
	Coverage Coverage         `json:"coverage"`
	Columns  []string         `json:"columns"`
	Rows     []rows.Row       `json:"rows"`
}

// Coverage reports which of the needed shards a response covers.
type Coverage struct {
	// Answered is the number of shards whose complete tables are merged.
	Answered int `json:"answered"`
	// Total is the number of shards that the request needs.
	Total int `json:"total"`
	// Missing lists the shards that are not merged, in ascending order.
	Missing []int `json:"missing"`
}

// StatementRequest is an operator's statement for a node to run.
type StatementRequest struct {
	Statement string `json:"statement"`
	// Operator is the name of the operator for the log of changes.
	Operator string `json:"operator,omitempty"`
	// ChangeID is the id or token of a change, which takes effect at most once. The node
	// generates one if it is empty.
	ChangeID string `json:"change_id,omitempty"`
	// TimeoutMilliseconds limits the wait until the change is in force.
	TimeoutMilliseconds int64 `json:"timeout_ms,omitempty"`
	// DryRun makes the node only validate the change.
	DryRun bool `json:"dry_run,omitempty"`
}

// StatementKind is the kind of statement that a StatementResponse belongs to.
type StatementKind string

// The kinds of statements.
const (
	KindChange StatementKind = "change"
	KindShow   StatementKind = "show"
)

// ChangeOutcome is the state of a change as far as the responding node knows it.
type ChangeOutcome string

// The outcomes of a change.
const (
	// ChangeInForce means that the change is accepted and every serving member holds it.
	ChangeInForce ChangeOutcome = "in_force"
	// ChangeAccepted means that the change is permanent, but some members are not yet known
	// to hold it.
	ChangeAccepted ChangeOutcome = "accepted"
	// ChangeNotAccepted means that the change has not taken effect and never will.
	ChangeNotAccepted ChangeOutcome = "not_accepted"
	// ChangeOutcomeUnknown means that the change may or may not take effect. A later request by
	// its id may determine which.
	ChangeOutcomeUnknown ChangeOutcome = "unknown"
	// ChangeDryRun means that the change would be valid and was not made.
	ChangeDryRun ChangeOutcome = "dry_run"
)

// StatementResponse is the response to a StatementRequest and to a GET of ChangePath.
type StatementResponse struct {
	Kind StatementKind `json:"kind"`
	// ChangeID, Outcome, Revision, InForceOn, Members and Missing are set for a change.
	ChangeID string        `json:"change_id,omitempty"`
	Outcome  ChangeOutcome `json:"fate,omitempty"`
	// Revision is the revision of the change, or the revision that a show statement
	// read.
	Revision uint64 `json:"revision"`
	// InForceOn is the number of members that are known to hold the change.
	InForceOn int `json:"in_force_on"`
	Members   int `json:"members"`
	// Missing lists the names of the members that are not yet known to hold the change.
	Missing []string `json:"missing,omitempty"`
	Detail  string   `json:"detail,omitempty"`
	// Table is the result of a show statement.
	Table *rows.Table `json:"table,omitempty"`
}

// DrainResponse is the response to a POST of DrainPath.
type DrainResponse struct {
	Node  string    `json:"node"`
	State NodeState `json:"state"`
}
