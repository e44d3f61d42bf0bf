package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/coverage"
)

// shardStatus is where one needed shard of a query stands.
type shardStatus uint8

const (
	shardWaiting     shardStatus = iota // queued in the node
	shardInFlight                       // at least one wanted attempt
	shardAnswered                       // merged
	shardUnavailable                    // no leaf is left; looked at again with each topology
	shardParked                         // needs a retry that the budget forbids now
)

// shardState is one needed shard of a query.
type shardState struct {
	status             shardStatus
	attempts           uint8
	lostAttempts       uint8
	unexecutedAttempts uint8  // sends that provably did not execute
	resend             bool   // the former attempt provably did not execute
	needsRetry         bool   // an attempt that may have executed ended without an answer
	chargeNext         bool   // the next attempt is extra load, though the former did not execute
	triedReplicas      uint32 // replicas that got an attempt
	withheld           bool   // see Dispatcher.withhold
	group              *replicaGroup
	firstAttempt       int32 // list of wanted attempts in flight
	answeredBy         AttemptID
	waitTicket         uint32 // ticket of the live entry in the queue of the group
	// waitWork is the share of the waiting work for each leaf of the group.
	waitWork time.Duration
}

// markDue makes the shard due if no attempt of it is left.
func (s *shardState) markDue() {
	if s.status == shardInFlight && s.firstAttempt == noAttempt {
		s.status = shardWaiting
		s.waitTicket = 0
	}
}

// due reports whether the shard is to be placed: it neither has an attempt
// nor waits for a leaf.
func (s *shardState) due() bool {
	return s.status == shardWaiting && s.waitTicket == 0
}

// query is a submitted query until its Finish.
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
	index     int  // among the running queries of the Dispatcher
	started   bool // not waiting for the concurrency limit
	restarted bool // runs at its second snapshot
	finished  bool
}

// pinned is the snapshot that a query reads, and its shards there.
type pinnedSnapshot struct {
	snapshot   catalog.Snapshot
	firstShard int // the number of the shard at position 0
	shards     []shardState
	progress   coverage.Progress
}

// attemptCounts are the attempts of a query.
type attemptCounts struct {
	inFlight   int  // wanted attempts
	unresolved int  // those whose end was not reported yet, wanted or not
	executed   bool // one has ended that may have executed
}

// mayHaveRun reports whether an attempt has executed, or may have or may yet.
func (c *attemptCounts) mayHaveRun() bool {
	return c.executed || c.unresolved > 0
}

// suspicion is what says that the query may crash leaves; see withhold.go.
type suspicion struct {
	crashes  int // attempts whose leaf closed the connection before a byte of its answer
	withheld int // shards that wait for the answer of another one
}

// schedule is when the things of a query happen.
type schedule struct {
	submitted Time
	startedAt Time
	settleAt  Time
	promoteAt Time // when it becomes as urgent as the most urgent
}

// findings are what the attempts of a query said that decides how it ends.
type findings struct {
	snapshotLost bool // no leaf holds a needed shard at the snapshot
	invalid      bool // a leaf cannot run the statement
	unknown      bool // its only attempt is lost and may have executed
	lastReason   Reason
	// retryAfter is the predicted wait of a refused query, or the longest pause that a
	// leaf asked for.
	retryAfter time.Duration
}

// hedging is when hedges of a query are due.
type hedging struct {
	armed           bool
	nextCheckAt     Time // of the next look; zero if no hedge is due
	chargeAsRetryAt Time // when hedges are paid for as retries; zero for never
}

// rescuing reports whether hedges are paid for as retries.
func (h *hedging) chargedAsRetries(now Time) bool {
	return h.chargeAsRetryAt > 0 && now >= h.chargeAsRetryAt
}

// timer is the place of a query in the timerHeap.
type timer struct {
	index int // -1 if not in it
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

// result fills in what a Finish says of the shards.
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
