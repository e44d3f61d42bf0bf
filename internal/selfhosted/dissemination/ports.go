package dissemination

import (
	"context"
	"net/netip"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Store is the interface of the configuration store that the driver uses. Implementations are safe
// for concurrent use, and every call must return when its context ends.
type Store interface {
	// ReadChanges performs a linearizable read. It returns at most limit changes in order, starting
	// with revision from; more reports that further changes may exist.
	ReadChanges(ctx context.Context, from uint64, limit int) (changes []catalog.Change, more bool, err error)
	// CreateChange writes a change unless its revision already has one, which it then returns. It
	// must not retry a write on its own.
	CreateChange(ctx context.Context, change catalog.Change) (created bool, existing *catalog.Change, err error)
	// MaybeApplied reports whether a change may have been written although CreateChange returned
	// err.
	MaybeApplied(err error) bool
	// WatchChanges calls deliver with new changes until ctx or the watch ends.
	WatchChanges(ctx context.Context, deliver func([]catalog.Change)) error
	// LoadCheckpoint returns the newest complete checkpoint, or nil.
	LoadCheckpoint(ctx context.Context) (*catalog.Catalog, error)
	// SaveCheckpoint writes a checkpoint unless it exists. If keep is not zero, SaveCheckpoint
	// deletes the changes before keep after it has read the checkpoint back.
	SaveCheckpoint(ctx context.Context, checkpoint *catalog.Catalog, keep uint64) error
}

// Transport sends datagrams and calls to other nodes.
type Transport interface {
	// Send sends one datagram, which may be lost. It must not block for long.
	Send(to netip.AddrPort, payload []byte) error
	// Fetch calls ServeFetch on a peer.
	Fetch(ctx context.Context, to netip.AddrPort, call *FetchCall) (*FetchReply, error)
}
