package dispatch

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Outcome is the final state of a query.
type Outcome string

// The outcomes of a query.
const (
	// OutcomeAnswered means that every needed shard contributed its rows.
	OutcomeAnswered Outcome = "answered"
	// OutcomePartial means that the answer lacks some needed shards; Finish.Missing lists them.
	OutcomePartial Outcome = "partial"
	// OutcomeNotRun means that no leaf executed the request or ever will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed means that the query has no answer, although a leaf may have executed part of
	// it.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that a request which must not be repeated may or may not have executed.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the cause of a query that ended without a complete answer.
type Reason string

// The reasons of a Finish.
const (
	ReasonNone           Reason = ""
	ReasonOverload       Reason = "overload"        // the predicted wait exceeds the remaining time
	ReasonDeadline       Reason = "deadline"        // the deadline passed
	ReasonStopped        Reason = "service_stopped" // the service is stopped
	ReasonNoLeaf         Reason = "no_leaf"         // no usable leaf holds a needed shard
	ReasonNoSnapshot     Reason = "no_snapshot"     // the topology has no snapshot yet
	ReasonCancelled      Reason = "cancelled"       // the caller cancelled the query
	ReasonConnectionLost Reason = "connection_lost" // the request was sent and no reply arrived
	ReasonRefused        Reason = "refused"         // the leaves refused the attempts
	ReasonInvalid        Reason = "invalid"         // the leaves cannot run the statement
	ReasonStopping       Reason = "stopping"        // the process ends before an answer could arrive
	// ReasonExtraLoad: another attempt would exceed the budget of extra load.
	ReasonExtraLoad Reason = "extra_load"
)

// Action is an instruction to the driver: a Send, an Abort or a Finish.
type Action interface{ action() }

// Send starts an attempt: the driver runs the query's statement on Shard at Snapshot on Leaf. The
// driver reports the end of each attempt exactly once, by Reply, Refuse or Fail, including attempts
// that were aborted.
type Send struct {
	Attempt AttemptID
	Query   QueryID
	Shard   int
	Leaf    netip.AddrPort
	// Zone is the zone of the leaf.
	Zone string
	// BootID is the incarnation of the leaf that the attempt is addressed to, as listed by the
	// topology.
	BootID   string
	Snapshot catalog.Snapshot
	// Remaining is the time until the query's deadline.
	Remaining time.Duration
	// Extra is set for attempts that count as extra load: hedges, probes, retries and restarts.
	Extra bool
	// Cause is the reason for the attempt.
	Cause Cause
	// Basis is the estimate of the leaf's state on which the choice of the leaf was based.
	Basis LeafEstimate
}

// LeafEstimate is a Dispatcher's estimate of the state of a leaf at the time of a Send.
type LeafEstimate struct {
	// InFlight is the number of this node's attempts on the leaf, and Limit the maximum of that
	// number.
	InFlight, Limit int
	// OthersInFlight is the estimated number of attempts of other nodes on the leaf, derived from a
	// load report that is ReportAge old.
	OthersInFlight float64
	ReportAge      time.Duration
	// Pace is the time that work takes on the leaf's machine, in percent of the usual time, as in
	// the last load report that contained it; zero if none did.
	Pace int
	// Slowness is the ratio of the leaf's service time to that of an ordinary leaf.
	Slowness float64
	// Budget is the number of extra attempts that the shard's budget still pays for.
	Budget float64
}

// Abort cancels an attempt whose reply is no longer needed.
type Abort struct {
	Attempt AttemptID
	// Overdue is set if the attempt has taken much longer than expected. It probably waits in a
	// queue and will not end soon, so the driver should free the leaf from it immediately.
	Overdue bool
}

// Finish ends a query. Each submitted query gets exactly one Finish, without waiting for the
// attempts that were aborted.
type Finish struct {
	Query    QueryID
	Outcome  Outcome
	Reason   Reason
	Snapshot catalog.Snapshot
	// Answered lists, for each shard with an answer, the attempt whose rows count.
	Answered []ShardAnswer
	// Missing lists the needed shards without an answer, in the order in which the query needs
	// them.
	Missing []int
	// Total is the number of shards needed at Snapshot.
	Total int
	// RetryAfter is the time after which the caller may retry a query that ended with OutcomeNotRun
	// or OutcomeFailed; zero if the Dispatcher cannot estimate it.
	RetryAfter time.Duration
}

// ShardAnswer maps a shard to the attempt that answered it.
type ShardAnswer struct {
	Shard   int
	Attempt AttemptID
}

func (Send) action()   {}
func (Abort) action()  {}
func (Finish) action() {}
