package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Reply reports that a leaf executed an attempt and that its whole answer is
// here. Shard and Snapshot are as echoed by the leaf.
type Reply struct {
	Shard    int
	Snapshot catalog.Snapshot
	BootID   string
	Load     leaf.LoadSummary
}

// Refusal reports that a leaf proved not to have executed an attempt.
type Refusal struct {
	Reason leaf.Refusal
	// RetryAfter is the pause that the leaf asks for; zero if it names none.
	RetryAfter time.Duration
	BootID     string
	Load       leaf.LoadSummary
}

// Failure reports that an attempt ended without a reply or a refusal.
type Failure struct {
	// Sent is false only if provably no byte of the request left the node.
	Sent bool
	// Aborted is set if the attempt ended because the driver cancelled it.
	Aborted bool
	// OnTheWay is set if the attempt was lost with another node that forwarded it,
	// which says nothing of the leaf.
	OnTheWay bool
	// Closed is set if the leaf closed the connection before a byte of its answer, as
	// when its process ends.
	Closed bool
	// Refused is set if the leaf's address refused the connection: nobody listens there.
	Refused bool
}
