// Package dispatch decides, for one service on one node, which leaf runs which attempt, how long
// attempts and queries wait, and what coverage an answer has.
//
// A Dispatcher is a pure state machine: it owns no goroutine, socket, clock or global random
// source. A driver calls its methods with the current time and performs the returned actions in
// order. The same code runs in a node on real sockets and in the simulator in virtual time. It is
// not safe for concurrent use; the driver serialises the calls.
//
// Each rule has a file, which begins with the rule, its inputs and its reason:
//
//	choose.go      choice of the leaf for an attempt
//	admit.go       admission of queries by their predicted wait
//	saturation.go  detection of a saturated service
//	retryafter.go  time after which a refused caller may retry
//	queue.go       order of waiting work
//	causes.go      second attempts: the table of causes
//	hedge.go       attempts in parallel with a late one
//	probe.go       attempts that measure a slow leaf
//	restart.go     running a query again at another snapshot
//	orphaned.go    attempts at a previous incarnation of a leaf
//	withhold.go    retries of a query that may crash leaves
//	budget.go      cost of extra attempts
//	settle.go      end and outcome of a query
//	limits.go      attempts in flight per leaf
//	backoff.go     pause of a failing leaf
//	down.go        leaves whose address refuses connections
//	warmup.go      rate of attempts at a cold leaf
//
// The packages replica, admission, limit, hedge, coverage and snapshot contain the arithmetic of
// these rules; this package owns all state between two calls.
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

// Query is a request for work on a set of shards.
type Query struct {
	ID    QueryID
	Class catalog.Class
	// KeyHash, if HasKey is set, selects the only shard needed: KeyHash modulo the number of shards
	// of the pinned partition. Otherwise all shards are needed.
	KeyHash uint64
	HasKey  bool
	// Shards, if not empty, lists the shards needed instead of all. The Dispatcher keeps the slice;
	// the caller must not modify it afterwards.
	Shards []int
	// Deadline is an absolute time on the clock of Time.
	Deadline Time
	// OutcomeWait is how long after Deadline a query that may run once waits for the end of its
	// attempt, which tells whether it ran. Nothing is sent in that time.
	OutcomeWait time.Duration
	// Objective is the time after which an answer has little value; zero means that there is none.
	// A query with enough coverage settles shortly before it.
	Objective Time
	// HedgeDelay bounds the age from which an attempt counts as late; zero means that only the
	// latency quantile of the class applies.
	HedgeDelay time.Duration
	// MaximumAttempts bounds the attempts of each shard that may execute; zero means that only
	// Config.MaximumAttempts applies, which counts all attempts.
	MaximumAttempts int
	// MinimumCoverage is the share of needed shards, from 0 to 1, below which the query waits until
	// its deadline instead of settling.
	MinimumCoverage float64
}

// Leaf is the topology entry of a leaf. Only leaves that are Usable get work.
type Leaf struct {
	Address netip.AddrPort
	Zone    string
	BootID  string
	Usable  bool // neither leaving nor gone nor in an unknown state
	// Standby marks a leaf that gets work only while no other replica of the shard can accept it.
	Standby bool
	// Canary marks a leaf that gets only the attempts that the Allowance of its shard permits, from
	// WarmAt on.
	Canary bool
	// WarmAt is the time from which a Canary may get attempts.
	WarmAt Time
	// Cold marks a leaf that starts with a low limit when the Dispatcher first sees it or its new
	// incarnation.
	Cold bool
	// ColdUntil is the time at which the leaf is warm. Until then this node may send it at most
	// ColdRate attempts in any second, and none if ColdRate is below one.
	ColdUntil Time
	ColdRate  float64
	Slots     int
	Holdings  []leaf.Holding
}

// Topology is the set of leaves and partitions at one revision. The Dispatcher keeps it; the caller
// must not modify it afterwards.
type Topology struct {
	Revision   uint64
	Partitions []catalog.Partition
	Leaves     []Leaf
	// Concurrency bounds the queries that run at the same time; zero means no bound.
	Concurrency int
	Stopped     bool
}
