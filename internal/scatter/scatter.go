// Package scatter drives queries over the shards of a service: it performs what
// the dispatch package decides, over real leaves and real time.
//
// A Conn belongs to one service. It serialises the calls to the Dispatcher,
// sends attempts, collects the tables of replies and hands the ones that count
// to the caller. It repeats nothing on its own: a second attempt happens only
// if the Dispatcher returns another Send.
package scatter

import (
	"context"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
)

// LeafClient runs one attempt on one leaf. An error that proves that the
// attempt did not reach the leaf is a *leaf.TransportError with Sent false.
type LeafClient interface {
	Execute(ctx context.Context, address netip.AddrPort, request leaf.ExecuteRequest) (*leaf.ExecuteResponse, error)
}

// Guard says directly before a send whether the node may still act. A node
// that was frozen, or cut off from the majority of voters, may not.
type Guard func() error

// DrainingFunc is told of a leaf whose reply says that it is leaving.
type DrainingFunc func(address netip.AddrPort, bootID string)

// Config is what a Conn needs besides its Dispatcher.
type Config struct {
	Service string
	// AttemptPrefix makes attempt ids unique among nodes and their restarts.
	AttemptPrefix string
	Leaves        LeafClient
	Clock         clock.Clock
	Guard         Guard
	OnDraining    DrainingFunc
	Metrics       *Metrics
}

// Request is one query as the executor planned it.
type Request struct {
	RequestID string
	Class     catalog.Class
	// Statement is the canonical text that each shard runs.
	Statement       string
	KeyHash         uint64
	HasKey          bool
	Timeout         time.Duration
	MinimumCoverage float64
}

// ShardTable is the table of one shard that counts for the answer.
type ShardTable struct {
	Shard int
	Table rows.Table
}

// Result is the fate of a query, with the tables that count.
type Result struct {
	dispatch.Finish
	Tables []ShardTable
	// Detail is a leaf's word on why a statement cannot run, if one said so.
	Detail string
}
