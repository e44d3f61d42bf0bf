package node

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/lease"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/position"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Kind is the kind of data that a key of the store holds.
type Kind int

// These are the kinds of keys.
const (
	KindOther         Kind = iota // not used by a node
	KindConfig                    // the declared configuration
	KindLeaf                      // the announcement of a leaf
	KindNode                      // the announcement of a node like this one
	KindCordon                    // the cordon of a zone by an operator
	KindRolloutOrder              // an operator's order to roll out a version
	KindRolloutRecord             // the progress of a rollout
	KindQuarantine                // the quarantine record of a request
)

// Decoder decodes the keys and values of the store. Its methods keep no reference to an item.
type Decoder interface {
	// Prefix is the common prefix of all keys that a node reads.
	Prefix() string
	Kind(key string) Kind
	// Config decodes the declared configuration.
	Config(item mirror.Item) (*route.Config, error)
	// LeafID returns the ID of the leaf that a key announces.
	LeafID(key string) (string, error)
	// Leaf decodes the announcement of a leaf.
	Leaf(item mirror.Item) (registry.Leaf, error)
	// CordonedZone returns the zone that a key cordons. The key exists as long as the cordon.
	CordonedZone(key string) string
	// RolloutService returns the service whose rollout a key orders. The key exists as long as the
	// order.
	RolloutService(key string) string
	// RolloutOrder decodes the order of a rollout.
	RolloutOrder(item mirror.Item) (rollout.Order, error)
	// RolloutRecord decodes the record of a rollout.
	RolloutRecord(item mirror.Item) (rollout.Record, error)
	// QuarantinedContent returns the content of the request that a key names.
	QuarantinedContent(key string) (quarantine.Content, error)
	// QuarantineRecord decodes the quarantine record of a request.
	QuarantineRecord(item mirror.Item) (quarantine.StoredRecord, error)
	// NodePrefix is the common prefix of the announcements of nodes.
	NodePrefix() string
	// NodeName returns the name of the node that a key announces.
	NodeName(key string) string
	// NodeKey returns the key that announces an incarnation of a node.
	NodeKey(name, incarnation string) string
}

// ErrConflict means that a concurrent write came first: the record, or the order that it answers,
// is not the one on which the change was based.
var ErrConflict = errors.New("record was changed concurrently")

// Rollouts writes the steps of rollouts.
type Rollouts interface {
	// Advance writes a step if the store still has the order and the record at the positions that
	// the step names, and returns the position of the new record. If it fails with an error other
	// than ErrConflict, the write may have happened or may still happen.
	Advance(ctx context.Context, step rollout.Transition) (position.Position, error)
}

// Quarantine writes the quarantine records of requests.
type Quarantine interface {
	lease.Granter
	// WriteQuarantine applies a change to a record, which is bound to a lease, and returns the
	// record after the change. With ErrConflict it returns the record that another node wrote; a
	// revision of zero means that there is no record. With lease.ErrExpired nothing was written.
	// After any other error the write may have happened or may still happen.
	WriteQuarantine(ctx context.Context, change quarantine.Change, leaseID uint64) (quarantine.StoredRecord, error)
}

// Ports are the external dependencies of a Node.
type Ports struct {
	Store  mirror.Store
	Leases lease.Store
	// Rollouts may be nil if the settings allow no load on new versions.
	Rollouts Rollouts
	// Quarantine may be nil; then no request is quarantined.
	Quarantine Quarantine
	Decoder    Decoder
	Leaves     scatter.LeafClient[*forward.Request, forward.Part]
	// Handler returns the handler of client requests.
	Handler func(Service) http.Handler
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// OnLeafShares receives the leaves of each topology before the Dispatcher uses it.
	OnLeafShares func([]LeafShare)
}

// LeafShare is the number of connections to a leaf that this node may keep. If Connections is zero,
// the node may open one for a request that no other leaf can take.
type LeafShare struct {
	Address     netip.AddrPort
	BootID      string // the incarnation of the leaf
	Connections int
}

// Service is the part of a Node that the handler of client requests uses.
type Service interface {
	// Execute runs a request; see forward.Forwarder.
	Execute(ctx context.Context, request *forward.Request) forward.Answer
	// Now returns the time on the clock of forward.Request.Arrived.
	Now() time.Duration
	// Limits returns the limits on client requests of the configuration in force.
	Limits() route.Limits
	// Draining reports whether clients should move to other nodes.
	Draining() bool
	// Ending returns a context that ends when each request must have its final answer, since the
	// process is about to end.
	Ending() context.Context
}
