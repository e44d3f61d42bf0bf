// Package leaf is the client of the leaf protocol of the self-hosted deployment: JSON over HTTP/2
// without TLS. It owns the connections to the leaves and determines for each failed call whether
// the request can have run. Both deployments use its types for loads and refusals. The messages
// contain types of internal/catalog and internal/rows.
package leaf

import (
	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rows"
)

// The URL paths of the leaf protocol.
const (
	ExecutePath = "/v1/execute"
	LoadPath    = "/v1/load"
)

// ExecuteRequest asks a leaf to run a statement on one shard at one snapshot. The leaf refuses a
// request whose remaining time expires before the statement starts.
type ExecuteRequest struct {
	RequestID string           `json:"request_id"`
	AttemptID string           `json:"attempt_id"`
	Service   string           `json:"service"`
	Shard     int              `json:"shard"`
	Snapshot  catalog.Snapshot `json:"snapshot"`
	// Statement is the canonical text of a select or insert.
	Statement string `json:"statement"`
	// RemainingMilliseconds is the time until the deadline. It is a duration instead of a point in
	// time because the clocks of the machines differ.
	RemainingMilliseconds int64 `json:"remaining_milliseconds"`
	Repeatable            bool  `json:"repeatable"`
}

// Refusal is the reason why a leaf did not execute a request. The leaf guarantees that a refused
// attempt has not run on it and never will.
type Refusal string

// The values of Refusal.
const (
	RefusedNone     Refusal = ""
	RefusedShed     Refusal = "shed"          // the queue is full, or the deadline cannot be met
	RefusedDraining Refusal = "draining"      // the leaf is shutting down
	RefusedCold     Refusal = "cold"          // the leaf has not warmed up
	RefusedSnapshot Refusal = "snapshot_gone" // the leaf does not hold the snapshot
	RefusedMoved    Refusal = "shard_moved"   // the leaf does not hold the shard in this epoch
	RefusedLate     Refusal = "late"          // the remaining time expired
	RefusedInvalid  Refusal = "invalid"       // the statement cannot run
)

// ExecuteResponse is the reply to an ExecuteRequest. It is sent with HTTP status 200 for executed
// and for refused requests. It echoes the IDs of the request, and the shard and the snapshot of the
// rows.
type ExecuteResponse struct {
	RequestID string           `json:"request_id"`
	AttemptID string           `json:"attempt_id"`
	Shard     int              `json:"shard"`
	Snapshot  catalog.Snapshot `json:"snapshot"`
	BootID    string           `json:"boot_id"`
	Executed  bool             `json:"executed"`
	Refusal   Refusal          `json:"refusal,omitempty"`
	Detail    string           `json:"detail,omitempty"`
	// RowCount is the number of rows in Table. The client uses it to detect a truncated reply.
	RowCount int        `json:"row_count"`
	Table    rows.Table `json:"table"`
	// Load is the current load of the leaf.
	Load LoadSummary `json:"load"`
}

// LoadSummary is the part of a load report that is included in every reply.
type LoadSummary struct {
	State     State `json:"state"`
	SlotsBusy int   `json:"slots_busy"`
	Slots     int   `json:"slots"`
	Queue     int   `json:"queue"`
	// Pace is the current duration of work on the leaf's machine as a percentage of its usual
	// duration; zero if the leaf does not report it. The machine is shared with other processes,
	// so the value changes many times a second.
	Pace int `json:"pace,omitempty"`
}

// State is the lifecycle state that a leaf reports.
type State string

// The values of State.
const (
	StateServing  State = "serving"
	StateCold     State = "cold"
	StateDraining State = "draining"
)

// Holding lists the shards that a leaf holds at one snapshot.
type Holding struct {
	Snapshot catalog.Snapshot `json:"snapshot"`
	Shards   []int            `json:"shards"`
}

// LoadReport is the reply to GET /v1/load. It may be outdated or wrong.
type LoadReport struct {
	BootID string `json:"boot_id"`
	LoadSummary
	Service  string    `json:"service"`
	Holdings []Holding `json:"holdings"`
	// AsOfUnixMilliseconds is the time on the leaf's clock at which the report was created.
	AsOfUnixMilliseconds int64 `json:"as_of_unix_milliseconds"`
}
