package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Reply reports that a leaf executed an attempt and that its complete answer has arrived. Shard and
// Snapshot are the values echoed by the leaf.
type Reply struct {
	Shard    int
	Snapshot catalog.Snapshot
	BootID   string
	Load     leaf.LoadSummary
	// Waited is how long the driver held the attempt before it sent it, for lack of a connection.
	Waited time.Duration
}

// Refusal reports the proof that a leaf did not execute an attempt.
type Refusal struct {
	Reason leaf.Refusal
	// RetryAfter is the pause that the leaf requests; zero if it requests none.
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
	// LostAtRelay is set if the attempt was lost together with the node that forwarded it. Such a
	// loss does not count against the leaf.
	LostAtRelay bool
	// Rejected is set if the leaf answered and rejects the request. This does not count against the
	// leaf.
	Rejected bool
	// Withdrawn is set if the driver did not send the attempt because its leaf became unusable or
	// too little time was left. This does not count against the leaf.
	Withdrawn bool
	// ConnectionClosed is set if the leaf closed the connection before the first byte of its
	// answer, for example because its process ended.
	ConnectionClosed bool
	// ConnectionRefused is set if the leaf's address refused the connection because nothing listens
	// there.
	ConnectionRefused bool
}

// countsAgainstLeaf reports whether the failure shows that the leaf is in trouble.
func (f Failure) countsAgainstLeaf() bool {
	return !f.Aborted && !f.LostAtRelay && !f.Rejected && !f.Withdrawn
}
