package dispatch

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Outcome is how a query ended.
type Outcome string

// The outcomes of a query.
const (
	// OutcomeAnswered means that every needed shard was merged.
	OutcomeAnswered Outcome = "answered"
	// OutcomePartial means that some needed shards are missing, and named.
	OutcomePartial Outcome = "partial"
	// OutcomeNotRun means that the request ran nowhere and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed means that no answer can be given; a part may have run.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that a request which may not be repeated may or
	// may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason says why a query ended without a whole answer.
type Reason string

// The reasons.
const (
	ReasonNone       Reason = ""
	ReasonOverload   Reason = "overload"        // predicted wait beyond the remaining time
	ReasonDeadline   Reason = "deadline"        // the deadline passed
	ReasonStopped    Reason = "service_stopped" // the service is stopped
	ReasonNoLeaf     Reason = "no_leaf"         // no usable leaf for a needed shard
	ReasonNoSnapshot Reason = "no_snapshot"     // no snapshot is known yet
	ReasonCancelled  Reason = "cancelled"       // the caller went away
	ReasonLost       Reason = "connection_lost" // bytes left, no reply came
	ReasonRefused    Reason = "refused"         // the leaves refused
	ReasonInvalid    Reason = "invalid"         // the leaves cannot run the statement
	ReasonBudget     Reason = "extra_load"      // another attempt would exceed the budget of extra load
)

// Action is what the driver has to do: one of Send, Abort and Finish.
type Action interface{ action() }

// Send starts an attempt: run the query's statement on Shard at Snapshot on
// Leaf. The driver reports the end of each attempt exactly once, by Reply,
// Refuse or Fail, also after Abort.
type Send struct {
	Attempt AttemptID
	Query   QueryID
	Shard   int
	Leaf    netip.AddrPort
	// Zone is that of the leaf.
	Zone string
	// BootID is the incarnation of the leaf that the attempt is meant for, as
	// the topology lists it.
	BootID   string
	Snapshot catalog.Snapshot
	// Remaining is the time left until the query's deadline.
	Remaining time.Duration
	// Extra is set for hedges and retries: attempts beyond those needed.
	Extra bool
	// Cause is why the attempt is sent, and Basis what the choice of the leaf
	// rested on.
	Cause Cause
	Basis Basis
}

// Basis is what a Dispatcher believes of a leaf when it sends an attempt there.
type Basis struct {
	// InFlight is the number of this node's attempts there, and Limit the most
	// that there may be.
	InFlight, Limit int
	// Others is the estimated number of attempts of other nodes, from a report
	// of the given age.
	Others float64
	Age    time.Duration
	// Pace is how long work takes on its machine, in percent of the usual, by
	// that report; zero if it has none.
	Pace int
	// Slowness is the ratio of its service time to that of an ordinary leaf.
	Slowness float64
	// Budget is the extra load that may still be spent on the shard.
	Budget float64
}

// Abort cancels an attempt whose reply is not wanted any more.
type Abort struct {
	Attempt AttemptID
	// Overdue is set if the attempt has taken much longer than expected: it
	// waits in a queue, most likely, and its end is not near. The leaf should be
	// freed of it at once.
	Overdue bool
}

// Finish ends a query. It is returned exactly once for each submitted query,
// at once when the query is given up.
type Finish struct {
	Query    QueryID
	Outcome  Outcome
	Reason   Reason
	Snapshot catalog.Snapshot
	// Answered lists, for each shard merged, the attempt whose rows count.
	Answered []ShardAnswer
	// Missing lists the needed shards that are not merged, in order.
	Missing []int
	// Total is the number of shards needed at Snapshot.
	Total int
	// RetryAfter is the time after which the caller may retry, for OutcomeNotRun and
	// OutcomeFailed; zero if no time is known.
	RetryAfter time.Duration
}

// ShardAnswer names the attempt that answered a shard.
type ShardAnswer struct {
	Shard   int
	Attempt AttemptID
}

func (Send) action()   {}
func (Abort) action()  {}
func (Finish) action() {}
