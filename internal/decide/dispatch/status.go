package dispatch

import (
	"math"
	"net/netip"
	"time"
)

// LeafState describes a leaf for status pages.
type LeafState struct {
	Address  netip.AddrPort
	Zone     string
	BootID   string
	Usable   bool
	Draining bool
	// InFlight is the number of attempts whose end has not been reported, and Limit the maximum of
	// that number.
	InFlight, Limit int
	// Others is the estimated number of attempts of other nodes.
	Others float64
	// Pace is the time that work takes on the leaf's machine, in percent of the usual time, as in
	// its last load report that contained it; zero if none did.
	Pace int
	// Latency is the running mean of the latency of the leaf's replies.
	Latency time.Duration
	// Slowness is the ratio of the leaf's service time to that of an ordinary leaf.
	Slowness float64
	// Probation is set while the leaf gets probes because it is slow.
	Probation bool
	// BackoffUntil is the time from which the leaf gets work again after failures or refusals.
	BackoffUntil Time
}

// LeafStates describes all leaves of the topology in its order.
func (d *Dispatcher) LeafStates() []LeafState {
	states := make([]LeafState, 0, len(d.fleet.leaves))
	best := math.Inf(1)
	for _, l := range d.fleet.leaves {
		best = min(best, d.slowness(l))
	}
	for _, l := range d.fleet.leaves {
		slowness := d.slowness(l)
		states = append(states, LeafState{
			Address:      l.address,
			Zone:         l.zone,
			BootID:       l.currentBoot(),
			Usable:       l.acceptsWork(),
			Draining:     l.draining(),
			InFlight:     len(l.running),
			Limit:        l.limiter.Current(),
			Others:       l.loadReports.estimateOthers(d.now),
			Pace:         l.loadReports.pace,
			Latency:      time.Duration(l.meanLatency * float64(time.Second)),
			Slowness:     slowness,
			Probation:    slowness > d.config.Probation.SlownessThreshold*best,
			BackoffUntil: l.backoff.until,
		})
	}
	return states
}

// Counters are monotonic counts since the start of the Dispatcher.
type Counters struct {
	Submitted uint64
	// Answered, Partial, NotRun, Failed and Unknown count queries by outcome.
	Answered, Partial, NotRun, Failed, Unknown uint64
	// Overloaded counts the queries refused by admission.
	Overloaded uint64
	Restarts   uint64
	// Needed counts the first attempts of each shard of each query. Resent counts attempts that
	// follow an attempt which provably did not execute.
	Needed, Resent uint64
	// Hedges, Probes, Retries and RestartSends count extra attempts by cause.
	Hedges, Probes, Retries, RestartSends uint64
	// HedgesWon counts the shards answered by a hedge or a probe.
	HedgesWon uint64
	// Replies, Refusals, FailedUnsent, FailedSent and Aborts count the ends of attempts.
	Replies, Refusals, FailedUnsent, FailedSent, Aborts uint64
	// LateReplies counts replies to attempts that were no longer wanted, and CrossedReplies replies
	// that echoed another shard or snapshot. Both are dropped.
	LateReplies, CrossedReplies uint64
	// UnknownAttempts counts reports on attempts whose end had been reported before.
	UnknownAttempts uint64
}

// Extra returns the number of extra attempts.
func (c Counters) Extra() uint64 {
	return c.Hedges + c.Probes + c.Retries + c.RestartSends
}

// countOutcome counts a query by its outcome.
func (c *Counters) countOutcome(outcome Outcome) {
	switch outcome {
	case OutcomeAnswered:
		c.Answered++
	case OutcomePartial:
		c.Partial++
	case OutcomeNotRun:
		c.NotRun++
	case OutcomeFailed:
		c.Failed++
	case OutcomeUnknown:
		c.Unknown++
	}
}

// CauseCount is the number of attempts with a cause.
type CauseCount struct {
	Cause Cause
	Count uint64
}

// ByCause returns the attempts sent by cause.
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

// Counters returns the current counts.
func (d *Dispatcher) Counters() Counters {
	return d.counters
}

// Load is the waiting work and remaining budget of a Dispatcher.
type Load struct {
	// WaitingShards is the number of shards that wait for a leaf.
	WaitingShards int
	// Budget is the number of extra attempts that all budgets together still pay for.
	Budget float64
}

// Load returns the current load.
func (d *Dispatcher) Load() Load {
	return Load{WaitingShards: d.waiting.queued, Budget: d.budgets.tokens()}
}

// InFlightAt returns the number of attempts in flight on the leaves whose listed boot ID satisfies
// selects.
func (d *Dispatcher) InFlightAt(selects func(boot string) bool) int {
	count := 0
	for _, l := range d.fleet.byAddress {
		if len(l.running) > 0 && selects(l.listedBoot) {
			count += len(l.running)
		}
	}
	return count
}
