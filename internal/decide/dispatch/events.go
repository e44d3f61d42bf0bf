package dispatch

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Reply reports that a leaf executed an attempt and that its whole answer is
// here. Shard and Snapshot are as echoed by the leaf.
type Reply struct {
	Shard    int
	Snapshot catalog.Snapshot
	BootID   string
	Load     leaf.LoadSummary
}

// Refusal reports that a leaf proved not to have executed an attempt.
type Refusal struct {
	Reason leaf.Refusal
	// RetryAfter is the pause that the leaf asks for; zero if it names none.
	RetryAfter time.Duration
	BootID     string
	Load       leaf.LoadSummary
}

// Failure reports that an attempt ended without a word of the leaf.
type Failure struct {
	// Sent is false only if provably no byte of the request left the node.
	Sent bool
	// Aborted is set if the attempt ended because the driver cancelled it.
	Aborted bool
	// OnTheWay is set if the attempt was lost with another node that had it in
	// hand, which says nothing of the leaf.
	OnTheWay bool
	// Closed is set if the leaf closed the connection before a byte of its answer, as
	// when its process ends.
	Closed bool
}

// LeafState describes one leaf for status pages.
type LeafState struct {
	Address  netip.AddrPort
	Zone     string
	BootID   string
	Usable   bool
	Draining bool
	// InFlight is the number of attempts whose end was not reported yet, and
	// Limit the most that there may be.
	InFlight, Limit int
	// Others is the estimated number of attempts of other nodes.
	Others float64
	// Pace is how long work takes on its machine, in percent of the usual, by its
	// last word; zero if it tells none.
	Pace int
	// Latency is the running mean of the latency of its replies.
	Latency time.Duration
	// Slowness is the ratio of its service time to that of an ordinary leaf.
	Slowness float64
	// Probation is set while the leaf gets probes because it is slow.
	Probation bool
	// HeldUntil is when work is given again after failures or refusals.
	HeldUntil Time
}

// Counters are counts since the start of the Dispatcher; they only grow.
type Counters struct {
	Submitted uint64
	// Queries by outcome.
	Answered, Partial, NotRun, Failed, Unknown uint64
	// Overloaded counts the queries refused by admission.
	Overloaded uint64
	Restarts   uint64
	// Needed counts the first attempts of each shard of each query. Resent
	// counts attempts after proof that the former did not execute.
	Needed, Resent uint64
	// Extra attempts, by cause.
	Hedges, Probes, Retries, RestartSends uint64
	// HedgesWon counts the shards answered by a hedge or a probe.
	HedgesWon uint64
	// Ends of attempts.
	Replies, Refusals, FailedUnsent, FailedSent, Aborts uint64
	// LateReplies came for attempts that were not wanted any more, and
	// CrossedReplies echoed another shard or snapshot; both were dropped.
	LateReplies, CrossedReplies uint64
	// UnknownAttempts counts reports on attempts that had ended already.
	UnknownAttempts uint64
}

// Extra returns the attempts beyond those needed.
func (c Counters) Extra() uint64 {
	return c.Hedges + c.Probes + c.Retries + c.RestartSends
}

// CauseCount is the number of attempts of a cause.
type CauseCount struct {
	Cause Cause
	Count uint64
}

// ByCause returns the attempts sent, by their cause.
func (c Counters) ByCause() []CauseCount {
	return []CauseCount{
		{CauseNeeded, c.Needed},
		{CauseResend, c.Resent},
		{CauseHedge, c.Hedges},
		{CauseProbe, c.Probes},
		{CauseRetry, c.Retries},
		{CauseRestart, c.RestartSends},
	}
}
