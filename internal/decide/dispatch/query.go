package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/coverage"
)

// shardStatus is the status of a needed shard of a query.
type shardStatus uint8

const (
	shardWaiting  shardStatus = iota // queued in the node, withheld, or due to be placed
	shardInFlight                    // at least one wanted attempt
	shardAnswered
	shardUnavailable // given up; placed again with each topology
	shardParked      // needs a retry that the budget does not allow now
)

// shardState is the state of a needed shard of a query.
type shardState struct {
	status             shardStatus
	attempts           uint8
	lostAttempts       uint8
	unexecutedAttempts uint8 // attempts that provably did not execute
	resend             bool  // the previous attempt provably did not execute
	needsRetry         bool  // an attempt that may have executed ended without an answer
	// chargeNext is set if the next attempt is extra load although the previous one did not
	// execute.
	chargeNext    bool
	triedReplicas uint32 // mask of the replicas that got an attempt
	withheld      bool   // see Dispatcher.withhold
	group         *replicaGroup
	firstAttempt  int32 // head of the list of wanted attempts in flight
	answeredBy    AttemptID
	// waitTicket is the ticket of the live entry in the queue of the group; zero if not queued.
	waitTicket uint32
	// waitWork is the shard's part of the waiting work of each leaf of the group.
	waitWork time.Duration
}

// markDue marks the shard to be placed if it has no attempt left.
func (s *shardState) markDue() {
	if s.status == shardInFlight && s.firstAttempt == noAttempt {
		s.status = shardWaiting
		s.waitTicket = 0
	}
}

// due reports whether the shard has to be placed: it neither has an attempt nor waits for a leaf.
func (s *shardState) due() bool {
	return s.status == shardWaiting && s.waitTicket == 0
}

// query is the state of a submitted query until its Finish.
type query struct {
	Query
	class *classState
	pinnedSnapshot
	attemptCounts
	suspicion
	schedule
	findings  findings
	hedging   hedging
	timer     timer
	index     int  // in the unfinished queries of the Dispatcher
	started   bool // not waiting for the concurrency limit
	restarted bool // runs at its second snapshot
	finished  bool
}

// pinnedSnapshot is the snapshot that a query reads, and the shards it needs there.
type pinnedSnapshot struct {
	snapshot   catalog.Snapshot
	firstShard int // number of the shard at position 0
	shards     []shardState
	progress   coverage.Progress
}

// attemptCounts describes the attempts of a query.
type attemptCounts struct {
	inFlight   int  // wanted attempts
	unresolved int  // attempts whose end has not been reported, wanted or not
	executed   bool // an attempt has ended that may have executed
}

// mayHaveRun reports whether an attempt has executed, may have executed or may still execute.
func (c *attemptCounts) mayHaveRun() bool {
	return c.executed || c.unresolved > 0
}

// suspicion counts the signs that the query crashes leaves; see withhold.go.
type suspicion struct {
	crashes  int // attempts whose leaf closed the connection before the first byte of its answer
	withheld int // shards that wait for the answer of another shard
}

// schedule holds the times that are set when a query is submitted or started.
type schedule struct {
	submitted Time
	startedAt Time
	settleAt  Time
	promoteAt Time // when it becomes as urgent as the most urgent class
}

// findings are the results of a query's attempts that determine how the query ends.
type findings struct {
	snapshotLost bool // no leaf holds a needed shard at the snapshot
	invalid      bool // a leaf cannot run the statement
	unknown      bool // the only attempt is lost and may have executed
	lastReason   Reason
	// retryAfter is the predicted wait of a refused query, or the longest pause that a leaf
	// requested.
	retryAfter time.Duration
}

// hedging is the state of the hedges of a query.
type hedging struct {
	armed           bool
	nextCheckAt     Time // zero if no hedge is due
	chargeAsRetryAt Time // when hedges start to be charged as retries; zero for never
}

// chargedAsRetries reports whether hedges are charged to the budget as retries now.
func (h *hedging) chargedAsRetries(now Time) bool {
	return h.chargeAsRetryAt > 0 && now >= h.chargeAsRetryAt
}

// timer is the position of a query in the timerHeap.
type timer struct {
	index int // -1 if not in the heap
	at    Time
}

// shardAt returns the number of the shard at a position.
func (q *query) shardAt(position int) int {
	if len(q.Shards) > 0 {
		return q.Shards[position]
	}
	return q.firstShard + position
}

// outstanding returns the number of shards without an answer.
func (q *query) outstanding() int {
	return q.progress.Total - q.progress.Answered
}

// result returns a Finish with the shards of the query, but without an outcome.
func (q *query) result() Finish {
	finish := Finish{Query: q.ID, Snapshot: q.snapshot, Total: q.progress.Total}
	if q.progress.Answered > 0 {
		finish.Answered = make([]ShardAnswer, 0, q.progress.Answered)
	}
	if missing := q.outstanding(); missing > 0 {
		finish.Missing = make([]int, 0, missing)
	}
	for position := range q.shards {
		shard := q.shardAt(position)
		if q.shards[position].status == shardAnswered {
			answer := ShardAnswer{Shard: shard, Attempt: q.shards[position].answeredBy}
			finish.Answered = append(finish.Answered, answer)
		} else {
			finish.Missing = append(finish.Missing, shard)
		}
	}
	return finish
}
