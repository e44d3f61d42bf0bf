// Package api holds the JSON types of a node's HTTP interface, for callers and
// for operators. The gateway serves them and micactl reads them; both use this
// package, so that they cannot drift apart.
package api

import (
	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/rows"
)

// Paths of the HTTP interface. A name in braces is one path segment.
const (
	// QueryPath takes a QueryRequest by POST.
	QueryPath = "/v1/services/{service}/query"
	// StatementsPath takes a StatementRequest by POST.
	StatementsPath = "/v1/operator/statements"
	// ChangePath answers GET with the StatementResponse of an earlier change.
	// The optional query parameter timeout_ms bounds the wait.
	ChangePath = "/v1/operator/changes/{id}"
	// StatusPath answers GET with a StatusResponse.
	StatusPath = "/v1/operator/status"
	// CatalogPath answers GET with the catalog, as catalog.Encode writes it.
	CatalogPath = "/v1/operator/catalog"
	// DrainPath starts the planned stop of a node, by POST; it answers 202
	// with a DrainResponse.
	DrainPath = "/v1/operator/nodes/{name}/drain"
)

// TimeoutParameter is the query parameter of ChangePath that bounds how long
// the node waits, in milliseconds.
const TimeoutParameter = "timeout_ms"

// ProblemContentType is the media type of a Problem.
const ProblemContentType = "application/problem+json"

// QueryRequest asks for one select or insert on a service.
type QueryRequest struct {
	// RequestID names the request; the answer echoes it. A node makes one up
	// if it is empty.
	RequestID string `json:"request_id"`
	// Class is the name of a class of the service.
	Class     string `json:"class"`
	Statement string `json:"statement"`
	// DeadlineMilliseconds is the time that the caller waits, counted from
	// the arrival at the node. Zero means the deadline of the class.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
	// MinimumCoverage is the least share of shards, from 0 to 1, that the
	// caller accepts before the deadline; absent means that of the class.
	MinimumCoverage *float64 `json:"minimum_coverage,omitempty"`
}

// QueryResponse answers a QueryRequest with status 200. A request without an
// answer gets a Problem instead.
type QueryResponse struct {
	RequestID string           `json:"request_id"`
	Outcome   dispatch.Outcome `json:"outcome"`
	Reason    dispatch.Reason  `json:"reason,omitempty"`
	// Snapshot is the one snapshot that all rows come from.
	Snapshot catalog.Snapshot `json:"snapshot"`
	Coverage Coverage         `json:"coverage"`
	Columns  []string         `json:"columns"`
	Rows     []rows.Row       `json:"rows"`
}

// Coverage says which of the needed shards an answer covers.
type Coverage struct {
	// Answered is the number of shards whose whole reply is merged.
	Answered int `json:"answered"`
	// Total is the number of shards that the request needed.
	Total int `json:"total"`
	// Missing lists the shards that are not merged, in ascending order.
	Missing []int `json:"missing"`
}

// StatementRequest asks a node to run one statement of an operator.
type StatementRequest struct {
	Statement string `json:"statement"`
	// Operator is the name noted in the log of changes.
	Operator string `json:"operator,omitempty"`
	// ChangeID is the id under which a change is made. Empty lets the node
	// choose one.
	ChangeID string `json:"change_id,omitempty"`
	// TimeoutMilliseconds bounds the wait until the change is in force.
	TimeoutMilliseconds int64 `json:"timeout_ms,omitempty"`
	// DryRun asks only whether the change would be valid now.
	DryRun bool `json:"dry_run,omitempty"`
}

// StatementKind says which kind of statement a StatementResponse answers.
type StatementKind string

// The kinds of statements.
const (
	KindChange StatementKind = "change"
	KindShow   StatementKind = "show"
)

// Fate is what a node knows of a change.
type Fate string

// The fates of a change.
const (
	// FateInForce means that the change is accepted and that every serving
	// member holds it.
	FateInForce Fate = "in_force"
	// FateAccepted means that the change never reverts, but that some
	// members are not yet known to hold it.
	FateAccepted Fate = "accepted"
	// FateNotAccepted means that the change has not taken effect and never
	// will.
	FateNotAccepted Fate = "not_accepted"
	// FateUnknown means that the change may or may not take effect; ask again
	// by its id.
	FateUnknown Fate = "unknown"
	// FateDryRun means that the change would be valid; nothing was done.
	FateDryRun Fate = "dry_run"
)

// StatementResponse answers a StatementRequest, and a GET of ChangePath.
type StatementResponse struct {
	Kind StatementKind `json:"kind"`
	// ChangeID, Fate, Revision and the members are set for a change.
	ChangeID string `json:"change_id,omitempty"`
	Fate     Fate   `json:"fate,omitempty"`
	// Revision is the revision of the change, or the one that a show
	// statement read.
	Revision uint64 `json:"revision"`
	// InForceOn is how many of Members are known to hold the change.
	InForceOn int `json:"in_force_on"`
	Members   int `json:"members"`
	// Missing names the members not yet known to hold the change.
	Missing []string `json:"missing,omitempty"`
	Detail  string   `json:"detail,omitempty"`
	// Table is the result of a show statement.
	Table *rows.Table `json:"table,omitempty"`
}

// DrainResponse answers a POST of DrainPath.
type DrainResponse struct {
	Node  string    `json:"node"`
	State NodeState `json:"state"`
}
