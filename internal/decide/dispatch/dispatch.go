// Package dispatch decides, for one service on one node, which leaf gets which
// piece of work, how long to wait, and what an answer covers.
//
// A Dispatcher is a pure state machine: it owns no goroutine, socket, clock or
// global random source. A driver calls its methods with the current time and
// performs the actions returned, in order. The same code runs in a node over
// real sockets and in the simulator in virtual time. It is not safe for
// concurrent use; the driver serialises the calls.
//
// Each rule has a file, which begins with the rule, its inputs, its reason and its
// measurement:
//
//	choose.go      which leaf gets an attempt
//	admit.go       which queries are taken, by their predicted wait
//	saturation.go  when the service counts as saturated
//	retryafter.go  when a refused caller may retry
//	queue.go       in which order waiting work goes
//	causes.go      second attempts: the table of causes
//	hedge.go       attempts beside a late one
//	probe.go       attempts that measure a slow leaf
//	restart.go     running a query again at another snapshot
//	crash.go       attempts at a former incarnation of a leaf
//	withhold.go    retries of a query that may crash leaves
//	budget.go      what extra attempts cost
//	settle.go      when a query ends, and how
//	limits.go      how many attempts a leaf may have
//	holdoff.go     how long a failing leaf gets nothing
//	warmup.go      what a cold leaf gets
//
// It relies on the packages replica, admission, limit, hedge, coverage and snapshot for
// the arithmetic of these rules, and owns all state between two calls.
//
// In the figures, worth is what the answers of a played day earned, of 1 at most, less the
// price of what they took; docs/ROUNDS.md and docs/MEASURED.md say how it and the simulated
// figures were measured.
package dispatch

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Time is a reading of a monotonic clock: the time since an arbitrary origin.
type Time = time.Duration

// QueryID identifies a query within one Dispatcher.
type QueryID uint64

// AttemptID identifies an attempt within one Dispatcher. It is never reused.
type AttemptID uint64

// Query is a request that wants work from a set of shards.
type Query struct {
	ID    QueryID
	Class catalog.Class
	// KeyHash, if HasKey, names the only shard needed: KeyHash modulo the
	// number of shards of the pinned partition. Otherwise all are needed.
	KeyHash uint64
	HasKey  bool
	// Shards, if not empty, lists the shards needed, in place of all. The
	// Dispatcher keeps it; the caller must not modify it afterwards.
	Shards []int
	// Deadline is absolute, on the clock of Time.
	Deadline Time
	// Objective is the moment after which an answer is worth little; zero for
	// none. A query with enough coverage settles shortly before it.
	Objective Time
	// HedgeDelay bounds the age at which an attempt counts as late; zero for
	// no bound but the quantile of the class.
	HedgeDelay time.Duration
	// MaximumSends is how many attempts of each shard may execute; zero for no
	// bound but that of the Config on all sends.
	MaximumSends int
	// MinimumCoverage is the share of needed shards, from 0 to 1, below which
	// the query waits until its deadline instead of settling.
	MinimumCoverage float64
}

// Leaf is what the topology says of one leaf. Work goes only to leaves that
// are Usable.
type Leaf struct {
	Address netip.AddrPort
	Zone    string
	BootID  string
	Usable  bool // neither leaving nor gone nor unknown
	// Standby marks a leaf that gets work only while no other replica of the
	// shard can take it.
	Standby bool
	// Canary marks a leaf that gets only what the Allowance of its shard lets it
	// have, once it is warm.
	Canary bool
	// WarmAt is when a Canary may get attempts.
	WarmAt Time
	// Cold marks a leaf that starts slowly, if it was not known before.
	Cold bool
	// ColdUntil is when the leaf is warm. Until then this node may send it
	// ColdRate attempts in any second; none if that is zero.
	ColdUntil Time
	ColdRate  float64
	Slots     int
	Holdings  []leaf.Holding
}

// Topology is the set of leaves and partitions known at one moment. The
// Dispatcher keeps it; the caller must not modify it afterwards.
type Topology struct {
	Revision   uint64
	Partitions []catalog.Partition
	Leaves     []Leaf
	// Concurrency limits the queries that run at once; zero means no limit.
	Concurrency int
	Stopped     bool
}
