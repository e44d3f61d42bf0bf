package node

import (
	"bytes"
	"context"
	"log/slog"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/edge/lease"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/roster"
)

// announcer registers this node in the store under a lease, so that other nodes count it.
type announcer struct {
	self    roster.Member
	decoder Decoder
	leases  lease.Store
	logger  *slog.Logger

	// storeRead is closed after the first read of the store or of a copy of it.
	storeRead chan struct{}
	// previousLease is the lease of an announcement by an earlier process of this node; zero if
	// there is none. It is set before storeRead is closed.
	previousLease uint64
	// leaseFound receives the lease of the announcement in a restored store.
	leaseFound chan uint64
}

// newAnnouncement returns the key and the value that announce this incarnation of the node.
func (a *announcer) newAnnouncement() (key string, value []byte) {
	value, err := a.self.Encode()
	if err != nil {
		event.Log(a.logger, event.NodeNotAnnounced{Error: err})
	}
	return a.decoder.NodeKey(a.self.Name, ulid.Make().String()), value
}

// findPreviousLease returns the lease of the newest announcement with the same content as this
// node's own. An earlier process on the same machine wrote it.
func (a *announcer) findPreviousLease(items []mirror.Item) uint64 {
	_, value := a.newAnnouncement()
	var latest mirror.Item
	for _, item := range items {
		matches := a.decoder.Kind(item.Key) == KindNode && bytes.Equal(item.Value, value)
		if matches && latest.Position().Before(item.Position()) {
			latest = item
		}
	}
	return latest.Lease
}

// start makes run begin the announcement. It is called once, after the first read of the store.
func (a *announcer) start(previousLease uint64) {
	a.previousLease = previousLease
	close(a.storeRead)
}

// renew makes run continue with the lease of the announcement that a restored store holds, or
// announce the node again if that is zero.
func (a *announcer) renew(leaseID uint64) {
	select {
	case <-a.leaseFound: // replaced by the later one
	default:
	}
	a.leaseFound <- leaseID
}

// run keeps this node announced until ctx ends. It waits for the first read of the store: if an
// earlier process on this machine left an announcement, its lease is renewed and no new key is
// written. When many processes restart, this saves calls to the store and changes that every node
// would receive.
func (a *announcer) run(ctx context.Context) {
	select {
	case <-a.storeRead:
	case <-ctx.Done():
		return
	}
	key, value := a.newAnnouncement()
	lease.NewHolder(lease.Config{
		Key: key, Value: value, Previous: a.previousLease, Found: a.leaseFound,
		TTL: leaseTTL, MinBackoff: minBackoff, MaxBackoff: leaseBackoff,
	}, a.leases, a.logger).Run(ctx)
}
