package share

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/hedge"
)

const (
	// slackUsed is the part of the extra load beyond the ratio that running nodes
	// spend in any window; the rest is for nodes that start. Not measured by itself:
	// with it and half of the slack for executors, the answers that left parts out on
	// a calm day of 64 nodes fell from 903 to 661.
	steadyShare = 0.75
	// savedPart is the part of that which a node saves up for a burst; the rest comes
	// with time, over the window. At 0.35 two large deployments earned 0.619 and 0.543
	// in place of 0.630 and 0.578.
	burstShare = 0.6
	// aloneInitial bounds the tokens of a node that has earned nothing yet, where none
	// runs requests for others: nodes that are killed come back with it each time.
	// Executors get what slackUsed leaves. Not measured: chosen as one attempt.
	standaloneInitial = 1
	// maxReserve bounds the tokens that hedges leave for retries, and reservePart is
	// the part of the capacity that they leave at most. Not measured for themselves;
	// without a reserve a deployment of 60 nodes earned 0.6608 in place of 0.6625,
	// which is within the spread.
	maxReserve   = 1
	reserveShare = 0.25
)

// Extra is the extra load that all nodes together may cause at a service, beyond the
// ratio that requests earn.
type Extra struct {
	// Attempts is how many extra attempts may come in any window.
	Attempts float64
	Window   time.Duration
}

// Budget returns the bounds of the extra load that the node may cause at a shard, in
// attempts, and attempts a second for Refill.
func (s Share) Budget(allowed Extra) hedge.Bounds {
	slack := s.fraction * allowed.Attempts / float64(max(s.nodeCounts.Total, 1))
	capacity := steadyShare * burstShare * slack
	refill := steadyShare * (1 - burstShare) * slack / allowed.Window.Seconds()
	initial := min((1-steadyShare)*slack, capacity)
	if s.standalone {
		initial = min(standaloneInitial, capacity)
	}
	return hedge.Bounds{Initial: initial, Capacity: capacity, Reserve: min(maxReserve, reserveShare*capacity), Refill: refill}
}
