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

// announcer announces this node to the others, under a lease in the store.
type announcer struct {
	self    roster.Member
	decoder Decoder
	leases  lease.Store
	logger  *slog.Logger

	// firstRead is closed once the store, or a copy of it, was read. Then former is
	// the lease of an announcement of this node by a former process; zero without
	// one.
	storeRead     chan struct{}
	previousLease uint64
}

// announcement returns the key and the value that announce this incarnation.
func (a *announcer) announcement() (key string, value []byte) {
	value, err := a.self.Encode()
	if err != nil {
		event.Log(a.logger, event.NodeNotAnnounced{Error: err})
	}
	return a.decoder.NodeKey(a.self.Name, ulid.Make().String()), value
}

// formerLease returns the lease of the last announcement that says what this node
// would say of itself: by a former process on the same machine.
func (a *announcer) findPreviousLease(items []mirror.Item) uint64 {
	_, value := a.announcement()
	var latest mirror.Item
	for _, item := range items {
		matches := a.decoder.Kind(item.Key) == KindNode && bytes.Equal(item.Value, value)
		if matches && item.Revision > latest.Revision {
			latest = item
		}
	}
	return latest.Lease
}

// begin lets the announcement begin. It is called once, after the first reading.
func (a *announcer) start(previousLease uint64) {
	a.previousLease = previousLease
	close(a.storeRead)
}

// run announces to the other nodes that this one shares the extra load, until ctx ends. It
// begins once the store was read: an announcement of a former process on this machine
// is kept alive in place of a new one, which spares calls to the store and changes that
// all nodes receive when many processes restart.
func (a *announcer) run(ctx context.Context) {
	select {
	case <-a.storeRead:
	case <-ctx.Done():
		return
	}
	key, value := a.announcement()
	lease.NewHolder(lease.Config{
		Key: key, Value: value, Previous: a.previousLease,
		TTL: leaseTTL, MinBackoff: minBackoff, MaxBackoff: leaseBackoff,
	}, a.leases, a.logger).Run(ctx)
}
