package dissemination

import (
	"context"
	"net/netip"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Store is the configuration store as the driver uses it. Every call must end
// with its context. It is safe for concurrent use.
type Store interface {
	// ReadChanges returns the changes from a revision on, in order, at most
	// limit; more says that there may be others. The read is linearizable.
	ReadChanges(ctx context.Context, from uint64, limit int) (changes []catalog.Change, more bool, err error)
	// CreateChange writes a change unless one exists at its revision, which it
	// then returns. It never writes twice by itself.
	CreateChange(ctx context.Context, change catalog.Change) (created bool, existing *catalog.Change, err error)
	// MaybeApplied says of an error of CreateChange whether the change may have
	// been written all the same.
	MaybeApplied(err error) bool
	// WatchChanges calls deliver with new changes until ctx or the watch ends.
	WatchChanges(ctx context.Context, deliver func([]catalog.Change)) error
	// LoadCheckpoint returns the newest whole checkpoint, or nil.
	LoadCheckpoint(ctx context.Context) (*catalog.Catalog, error)
	// SaveCheckpoint writes a checkpoint unless it is there. If keep is not
	// zero, it then deletes changes before keep, once the checkpoint has been
	// read back.
	SaveCheckpoint(ctx context.Context, checkpoint *catalog.Catalog, keep uint64) error
}

// Transport carries datagrams and calls to other nodes.
type Transport interface {
	// Send sends one datagram, which may be lost. It must not block for long.
	Send(to netip.AddrPort, payload []byte) error
	// Fetch calls ServeFetch on a peer.
	Fetch(ctx context.Context, to netip.AddrPort, call *FetchCall) (*FetchReply, error)
}
