// Package combine routes attempts at leaves of another zone through a node there, the combiner,
// which drops records from their parts before the parts cross to this zone.
//
// An answer of several shards holds only the greatest records of all parts, so most records of a
// complete part from another zone are not in the answer. The combiner keeps the greatest records of
// a query's parts so far. Of a new part it forwards only the records that are among these, together
// with the greatest dropped record. From that record the node that merges the parts can tell
// whether a record is missing; see records.Covers.
//
// A combiner makes no decisions: leaf selection, hedges, retries and the retry budget stay with the
// node that runs the query, which receives the end of every attempt separately. If no combiner of a
// zone is connected, attempts go to the leaves directly. An attempt is sent to at most one
// combiner. After that it is sent directly only if the combiner provably did not send it to the
// leaf.
//
// The package owns the sessions of queries on both sides (Client, and the server of Serve). It
// relies on peer for calls, on decide/combiners for the choice of the combiner and the detection of
// lost ones, on records for the selection, and on the Leaves that both sides send attempts to.
// Errors are *leaf.TransportError, with the step "combiner" if the combiner caused them.
// docs/design/0012-combiners.md explains the design.
package combine

import (
	"context"
	"net/netip"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Caller makes calls to other nodes; *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, request, response any) error
}

// Leaves sends attempts to leaves.
type Leaves = scatter.LeafClient[*forward.Request, forward.Part]
