// Package combine lets attempts at leaves of another zone go through a node
// there, the combiner, which thins out their parts before these cross to this
// zone.
//
// An answer of many shards holds only the greatest records of all parts. Each
// part that comes back from another zone in full is mostly records that do not
// count. The combiner keeps the greatest records of a query's parts so far and
// sends on only those of a new part that are among them, with the greatest of
// the others. From that the node that merges sees whether anything is missing;
// see records.Covers.
//
// A combiner decides nothing: leaves, hedges, retries and the budget stay with the node
// that runs the query, which receives the end of every attempt by itself. If no combiner
// of a zone is in touch, attempts go to the leaves directly. An attempt is handed to one
// combiner at most. It is sent directly after that only on proof that the combiner did
// nothing with it.
//
// The package owns the sessions of queries on both sides (Client, and the server of Serve).
// It relies on peer for calls, decide/combiners for which combiner gets a query and which
// one is lost, records for the selection, and the Leaves that both sides send attempts to.
// Errors are *leaf.TransportError, with the step "combiner" if the combiner is their
// cause. docs/design/0012-combiners.md has the measurements.
package combine

import (
	"context"
	"net/netip"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Caller makes calls to other nodes; *peer.Client is one.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, request, response any) error
}

// Leaves sends attempts to leaves.
type Leaves = scatter.LeafClient[*forward.Request, forward.Part]
