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
	status     shardStatus
	sends      uint8
	lost       uint8
	unexecuted uint8  // sends that provably did not execute
	resend     bool   // the former attempt provably did not execute
	needsRetry bool   // an attempt that may have executed ended without an answer
	chargeNext bool   // the next attempt is extra load, though the former did not execute
	tried      uint32 // replicas that got an attempt
	withheld   bool   // see Dispatcher.withhold
	group      *group
	first      int32 // list of wanted attempts in flight
	answer     AttemptID
	waitFor    uint32 // ticket of the live entry in the queue of the group
	// waitWork is the share of the waiting work for each leaf of the group.
	waitWork time.Duration
}

// markDue makes the shard due if no attempt of it is left.
func (s *shardState) markDue() {
	if s.status == shardInFlight && s.first == none {
		s.status = shardWaiting
		s.waitFor = 0
	}
}

// due reports whether the shard is to be placed: it neither has an attempt
// nor waits for a leaf.
func (s *shardState) due() bool {
	return s.status == shardWaiting && s.waitFor == 0
}

// query is a submitted query until its Finish.
type query struct {
	Query
	class      *classState
	snapshot   catalog.Snapshot
	firstShard int // the number of the shard at position 0
	shards     []shardState
	progress   coverage.Progress
	inFlight   int // wanted attempts
	unresolved int // attempts whose end was not reported yet, wanted or not
	// executed is set if an attempt has ended that may have executed.
	executed bool
	// crashes counts the attempts whose leaf closed the connection before a byte of
	// its answer, and withheld the shards that wait for an answer of another one.
	crashes, withheld int
	// snapshotLost is set if no leaf holds a needed shard at the snapshot.
	snapshotLost bool
	invalid      bool // a leaf cannot run the statement
	unknown      bool // its only attempt is lost and may have executed
	restarted    bool
	hedgesArmed  bool
	started      bool // not waiting for the concurrency limit
	finished     bool
	index        int // among the queries of the Dispatcher
	startedAt    Time
	submitted    Time
	settleAt     Time
	promoteAt    Time // when it becomes as urgent as the most urgent
	rescueAt     Time // when hedges may go into debt; zero for never
	hedgeAt      Time // zero if no hedge is due
	timer        int  // index in the timer heap, -1 if not in it
	timerAt      Time
	retryAfter   Time // the longest pause that a leaf asked for
	lastReason   Reason
}

func (q *query) mayHaveRun() bool {
	return q.executed || q.unresolved > 0
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
			answer := ShardAnswer{Shard: shard, Attempt: q.shards[position].answer}
			finish.Answered = append(finish.Answered, answer)
		} else {
			finish.Missing = append(finish.Missing, shard)
		}
	}
	return finish
}
