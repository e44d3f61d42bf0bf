// Package scatter runs queries over the shards of a service. It performs the actions that package
// dispatch decides on, using real leaf connections and timers.
//
// A QueryRunner belongs to one service and owns its attempts in flight and its timer. It serialises
// the calls to the Dispatcher, sends attempts, collects the replies and returns the parts that the
// Dispatcher selects to the caller. It does not retry or hedge on its own: it starts an attempt
// only for a dispatch.Send.
//
// The decisions are made in internal/decide/dispatch (sends, and the end of a query),
// internal/decide/presend (the last check before a send) and internal/decide/linger (how long an
// aborted attempt may continue).
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

// LeafClient runs one attempt on one leaf. If the attempt provably did not reach the leaf, Execute
// returns a *leaf.TransportError with Sent false. Execute must not retain the attempt.
type LeafClient[Q, P any] interface {
	Execute(ctx context.Context, attempt Attempt[Q]) (*Response[P], error)
}

// Attempt is a dispatch.Send with the data that the leaf needs to run it.
type Attempt[Q any] struct {
	dispatch.Send
	// ID is unique across all nodes and their restarts.
	ID         string
	RequestID  string
	Service    string
	Repeatable bool
	// Remaining is the time until the deadline of the query when the attempt is started.
	Remaining time.Duration
	// Withdrawn is closed when the attempt must not be sent any more, and SendWithin is the time
	// after which it must not be sent any more. Both end the wait of a LeafClient for a connection.
	Withdrawn  <-chan struct{}
	SendWithin time.Duration
	// CheckSend returns the time until the deadline of the query, or an error if the attempt must
	// not be sent any more. A LeafClient that waits before it sends the attempt calls it directly
	// before the send.
	CheckSend func() (time.Duration, error)
	Payload   Q
}

// Response is a leaf's reply to an attempt. A field has its zero value if the leaf did not report
// it.
type Response[P any] struct {
	// Executed is false if the leaf refused the attempt without running it. Refusal, RetryAfter and
	// Detail then describe the refusal.
	Executed   bool
	Refusal    leaf.Refusal
	RetryAfter time.Duration
	Detail     string
	// Failed is set if the leaf ran the attempt and it failed there. Part then holds the failure.
	Failed bool
	// Rejected is set, beside Failed, if the leaf is in order and rejects the request.
	Rejected bool
	// Unusable is set, beside Failed, if nothing of the reply may reach the caller.
	Unusable bool
	// Shard and Snapshot identify the source of Part.
	Shard    int
	Snapshot catalog.Snapshot
	BootID   string
	Load     leaf.LoadSummary
	// Connection tells on which connection the reply arrived.
	Connection leaf.ConnectionUse
	Part       P
}

// Guard is called immediately before each send and returns an error if the node must not send. This
// is the case if the process was frozen or is partitioned from the majority of voters.
type Guard func() error

// DrainingFunc is called with a leaf whose reply shows that it is draining.
type DrainingFunc func(address netip.AddrPort, bootID string)

// Config configures a QueryRunner.
type Config[Q, P any] struct {
	Service string
	// AttemptPrefix makes attempt IDs unique across all nodes and their restarts.
	AttemptPrefix string
	Leaves        LeafClient[Q, P]
	Clock         clock.Clock
	Guard         Guard
	OnDraining    DrainingFunc
	Metrics       *Metrics
	// Trace enables the recording of all attempts in Result.Attempts. The attempts of queries that
	// must not be repeated are always recorded.
	Trace bool
	// OnConnectionClosed, if not nil, is called when the leaf of an attempt closes the connection
	// before the first byte of its answer while the query runs. It requires Trace. It is called
	// with the mutex of the QueryRunner held, so it must not block or call the QueryRunner.
	OnConnectionClosed func(QueryProgress[Q])
	// Linger is how long an aborted attempt may continue before it is cancelled. Zero cancels it
	// immediately. Package linger decides when it applies.
	Linger time.Duration
}

// Request is one planned query.
type Request[Q any] struct {
	RequestID string
	Class     catalog.Class
	// Payload is sent to each shard.
	Payload Q
	KeyHash uint64
	HasKey  bool
	// Shards lists the shards to query. If it is empty, all shards are queried.
	Shards  []int
	Timeout time.Duration
	// OutcomeWait is how long after Timeout a query that may run once waits for the end of its
	// attempt; see dispatch.Query.
	OutcomeWait time.Duration
	// Objective is the target latency: an answer is worth most before it has passed. Zero means
	// none.
	Objective time.Duration
	// HedgeDelay is the upper bound of the delay after which an attempt counts as late; zero for no
	// bound.
	HedgeDelay time.Duration
	// MaximumSends is the maximum number of attempts per shard; zero for the Dispatcher's default.
	MaximumSends    int
	MinimumCoverage float64
}

// QueryProgress describes a running query. Attempts lists the attempts so far and must not be
// retained.
type QueryProgress[Q any] struct {
	RequestID string
	Payload   Q
	// SubmittedAt is the time of submission on the clock of the QueryRunner.
	SubmittedAt time.Duration
	Attempts    []AttemptTrace
}

// ShardPart is the part of the answer that came from one shard.
type ShardPart[P any] struct {
	Shard int
	Part  P
}

// AttemptTrace records one attempt. An attempt that outlives its query is recorded as open.
type AttemptTrace struct {
	dispatch.Send
	// SentAfter is the time from the submission of the query to the send. Duration is the time from
	// the send to the end of the attempt; it is zero while the attempt is open.
	SentAfter, Duration time.Duration
	End                 AttemptEnd
	// Aborted is set if the attempt was aborted before it ended, in favour of another attempt or
	// because its query ended.
	Aborted bool
	// Closed is set if the leaf closed or reset the connection before the first byte of its answer.
	Closed bool
	// Detail is the error text of a failed attempt or the reason of a refusal.
	Detail string
	// Connection tells on which connection the attempt ran.
	Connection leaf.ConnectionUse
}

// AttemptEnd is how an attempt ended.
type AttemptEnd string

// The values of AttemptEnd.
const (
	EndOpen     AttemptEnd = "open"     // still running when its query ended
	EndAnswered AttemptEnd = "answered" // complete answer received
	EndRefused  AttemptEnd = "refused"  // refused by the leaf without being run
	EndFailed   AttemptEnd = "failed"   // run by the leaf and answered with a failure
	EndUnsent   AttemptEnd = "unsent"   // failed before any byte was sent
	EndLost     AttemptEnd = "lost"     // sent, but no complete answer received
)

// Result is the outcome of a query with the parts of its answer.
type Result[P any] struct {
	dispatch.Finish
	Parts []ShardPart[P]
	// Attempts lists the attempts in the order in which they were sent. It is empty for a
	// repeatable query unless Config.Trace is set.
	Attempts []AttemptTrace
	// Failure is the last answer with which a leaf failed. It is valid only if HasFailure is set.
	Failure    P
	HasFailure bool
	// Detail is a leaf's explanation of why it cannot run the statement; empty if no leaf gave one.
	Detail string
}
