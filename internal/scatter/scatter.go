// Package scatter drives queries over the shards of a service: it performs what
// the dispatch package decides, over real leaves and real time.
//
// A Conn belongs to one service. It serialises the calls to the Dispatcher,
// sends attempts, collects the tables of replies and hands the ones that count
// to the caller. It repeats nothing on its own: a second attempt happens only
// if the Dispatcher returns another Send. It owns the attempts in flight and the
// timer of one service. It relies on internal/decide/dispatch for what is sent and when
// a query ends, on internal/decide/presend for the last check before a send, and on
// internal/decide/linger for when an attempt is cancelled that is not wanted any more.
package scatter

import (
	"context"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// LeafClient runs one attempt on one leaf. An error that proves that the
// attempt did not reach the leaf is a *leaf.TransportError with Sent false.
// Execute does not keep the attempt.
type LeafClient[Q, P any] interface {
	Execute(ctx context.Context, attempt Attempt[Q]) (*Response[P], error)
}

// Attempt is one send, with all that a leaf needs to run it.
type Attempt[Q any] struct {
	dispatch.Send
	// ID is unique among the nodes and their restarts.
	ID         string
	RequestID  string
	Service    string
	Repeatable bool
	// Remaining is the time left at the moment of the send.
	Remaining time.Duration
	Payload   Q
}

// Response is what a leaf said of an attempt. The zero value of each field
// means that the leaf did not say.
type Response[P any] struct {
	// Executed is false if the leaf proved that it did not run the attempt;
	// Refusal, RetryAfter and Detail say why.
	Executed   bool
	Refusal    leaf.Refusal
	RetryAfter time.Duration
	Detail     string
	// Failed is set if the leaf ran the attempt and answered with a failure of
	// its own, which is the Part.
	Failed bool
	// Shard and Snapshot are those that the part comes from.
	Shard    int
	Snapshot catalog.Snapshot
	BootID   string
	Load     leaf.LoadSummary
	Part     P
}

// Guard says directly before a send whether the node may still act. A node
// that was frozen, or cut off from the majority of voters, may not.
type Guard func() error

// DrainingFunc is called with a leaf whose reply says that it is leaving.
type DrainingFunc func(address netip.AddrPort, bootID string)

// Config is what a Conn needs besides its Dispatcher.
type Config[Q, P any] struct {
	Service string
	// AttemptPrefix makes attempt ids unique among nodes and their restarts.
	AttemptPrefix string
	Leaves        LeafClient[Q, P]
	Clock         clock.Clock
	Guard         Guard
	OnDraining    DrainingFunc
	Metrics       *Metrics
	// Trace collects the attempts of each query for its Result.
	Trace bool
	// OnClosed, if set, and Trace, is called with each attempt of a query that runs whose
	// leaf closed the connection before a byte of its answer. It is called with the Conn
	// locked, and must not block or call it.
	OnClosed func(Unfinished[Q])
	// Linger is how long an attempt that is not wanted any more may go on; zero
	// cancels it at once. The rule is package linger.
	Linger time.Duration
}

// Request is one query as the executor planned it.
type Request[Q any] struct {
	RequestID string
	Class     catalog.Class
	// Payload is what each shard runs.
	Payload Q
	KeyHash uint64
	HasKey  bool
	// Shards, if not empty, lists the shards needed, in place of all.
	Shards  []int
	Timeout time.Duration
	// Objective is the time within which an answer is worth most; zero for
	// none.
	Objective time.Duration
	// HedgeDelay bounds the age at which an attempt counts as late; zero for
	// no bound.
	HedgeDelay time.Duration
	// MaximumSends is how many attempts each shard may cause; zero for the
	// Dispatcher's own bound.
	MaximumSends    int
	MinimumCoverage float64
}

// Unfinished is a query that runs. Its attempts are those up to now, and must not be kept.
type Unfinished[Q any] struct {
	RequestID string
	Payload   Q
	// Began is when it was submitted, on the clock of the Conn.
	Began    time.Duration
	Attempts []AttemptTrace
}

// ShardPart is the part of one shard that counts for the answer.
type ShardPart[P any] struct {
	Shard int
	Part  P
}

// AttemptTrace records one attempt, up to the end of its query.
type AttemptTrace struct {
	dispatch.Send
	// At is when it was sent, and Took how long it took, since the query was
	// submitted and since it was sent. Took is zero if it has not ended.
	At, Took time.Duration
	End      AttemptEnd
	// Aborted says that it was given up before it ended, for another attempt or
	// with its query.
	Aborted bool
	// Closed says that the leaf's end of the connection was closed or reset before
	// a byte of its answer.
	Closed bool
	// Detail is the error of an attempt that failed, or the reason of a refusal.
	Detail string
}

// AttemptEnd says how an attempt ended.
type AttemptEnd string

// The ends of attempts.
const (
	EndOpen     AttemptEnd = "open"     // not before its query
	EndAnswered AttemptEnd = "answered" // with a whole answer
	EndRefused  AttemptEnd = "refused"  // the leaf proved that it did not run it
	EndFailed   AttemptEnd = "failed"   // the leaf answered with a failure
	EndUnsent   AttemptEnd = "unsent"   // no byte left
	EndLost     AttemptEnd = "lost"     // sent, and no whole answer came
)

// Result is the outcome of a query, with the parts that count.
type Result[P any] struct {
	dispatch.Finish
	Parts []ShardPart[P]
	// Attempts lists the attempts in the order of their sends, if Config.Trace.
	Attempts []AttemptTrace
	// Failure is the last answer with which a leaf itself failed, if HasFailure.
	Failure    P
	HasFailure bool
	// Detail is the reason that a leaf gave why a statement cannot run, if one did.
	Detail string
}
