package dispatch

import (
	"math"
	"net/netip"
	"time"
)

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
	// last report; zero if it reports none.
	Pace int
	// Latency is the running mean of the latency of its replies.
	Latency time.Duration
	// Slowness is the ratio of its service time to that of an ordinary leaf.
	Slowness float64
	// Probation is set while the leaf gets probes because it is slow.
	Probation bool
	// HeldUntil is when work is given again after failures or refusals.
	BackoffUntil Time
}

// LeafStates describes all leaves of the topology, in its order.
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

// finished counts a query by its outcome.
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

// Counters returns the counts so far.
func (d *Dispatcher) Counters() Counters {
	return d.counters
}

// Load describes what a Dispatcher holds at one moment.
type Load struct {
	// Waiting is the number of shards that wait for a leaf.
	Waiting int
	// Budget is the extra attempts that all budgets hold together.
	Budget float64
}

// Load returns the present load.
func (d *Dispatcher) Load() Load {
	return Load{Waiting: d.waiting.queued, Budget: d.budgets.tokens()}
}

// InFlightAt returns how many attempts run at the leaves that a function selects by
// their boot id.
func (d *Dispatcher) InFlightAt(selects func(boot string) bool) int {
	count := 0
	for _, l := range d.fleet.byAddress {
		if len(l.running) > 0 && selects(l.listedBoot) {
			count += len(l.running)
		}
	}
	return count
}
