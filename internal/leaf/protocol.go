// Package leaf is the client of the self-hosted deployment's leaf protocol: HTTP/2
// without TLS, with JSON bodies. It owns the connections to leaves and the proof of
// whether a byte of a request left. Both deployments use its types of load and
// refusal. It relies on internal/catalog and internal/rows for what the messages
// hold.
package leaf

import (
	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rows"
)

// Paths of the leaf protocol.
const (
	ExecutePath = "/v1/execute"
	LoadPath    = "/v1/load"
)

// ExecuteRequest asks a leaf to run a statement on one shard at one snapshot.
// A leaf refuses a request whose remaining time is used up before it starts.
type ExecuteRequest struct {
	RequestID string           `json:"request_id"`
	AttemptID string           `json:"attempt_id"`
	Service   string           `json:"service"`
	Shard     int              `json:"shard"`
	Snapshot  catalog.Snapshot `json:"snapshot"`
	// Statement is the canonical text of a select or insert.
	Statement string `json:"statement"`
	// RemainingMilliseconds is a duration, not a time of day: clocks differ.
	RemainingMilliseconds int64 `json:"remaining_milliseconds"`
	Repeatable            bool  `json:"repeatable"`
}

// Refusal is why a leaf did not execute a request. The leaf guarantees that a
// refused attempt ran nowhere on it and never will.
type Refusal string

// The refusals.
const (
	RefusedNone     Refusal = ""
	RefusedShed     Refusal = "shed"          // queue full, or the deadline cannot be met
	RefusedDraining Refusal = "draining"      // the leaf is leaving
	RefusedCold     Refusal = "cold"          // not yet warm
	RefusedSnapshot Refusal = "snapshot_gone" // the snapshot is not held any more, or not yet
	RefusedMoved    Refusal = "shard_moved"   // the shard is not held under that epoch
	RefusedLate     Refusal = "late"          // the remaining time was used up
	RefusedInvalid  Refusal = "invalid"       // the statement cannot run
)

// ExecuteResponse answers an ExecuteRequest (HTTP 200 for executed and for
// refused requests alike). It echoes the ids, the shard and the snapshot that
// the rows come from.
type ExecuteResponse struct {
	RequestID string           `json:"request_id"`
	AttemptID string           `json:"attempt_id"`
	Shard     int              `json:"shard"`
	Snapshot  catalog.Snapshot `json:"snapshot"`
	BootID    string           `json:"boot_id"`
	Executed  bool             `json:"executed"`
	Refusal   Refusal          `json:"refusal,omitempty"`
	Detail    string           `json:"detail,omitempty"`
	// RowCount repeats the number of rows, so that a truncated reply shows.
	RowCount int        `json:"row_count"`
	Table    rows.Table `json:"table"`
	// Load piggybacks the leaf's load on each reply.
	Load LoadSummary `json:"load"`
}

// LoadSummary is the part of a load report that every reply carries.
type LoadSummary struct {
	State     State `json:"state"`
	SlotsBusy int   `json:"slots_busy"`
	Slots     int   `json:"slots"`
	Queue     int   `json:"queue"`
	// Pace is how long work takes on the leaf's machine at present, in percent
	// of what is usual; zero if the leaf does not report it. The machine is shared,
	// and the figure changes many times a second.
	Pace int `json:"pace,omitempty"`
}

// State is what a leaf reports of whether it takes work.
type State string

// The states of a leaf.
const (
	StateServing  State = "serving"
	StateCold     State = "cold"
	StateDraining State = "draining"
)

// Holding says which shards a leaf holds at one snapshot.
type Holding struct {
	Snapshot catalog.Snapshot `json:"snapshot"`
	Shards   []int            `json:"shards"`
}

// LoadReport answers GET /v1/load. It may lag or mislead.
type LoadReport struct {
	BootID string `json:"boot_id"`
	LoadSummary
	Service  string    `json:"service"`
	Holdings []Holding `json:"holdings"`
	// AsOfUnixMilliseconds is the leaf's clock when the report was made.
	AsOfUnixMilliseconds int64 `json:"as_of_unix_milliseconds"`
}
