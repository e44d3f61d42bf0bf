package share

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/hedge"
)

const (
	// steadyShare is the share of the extra load beyond the ratio that running nodes spend in
	// any window; the rest is for nodes that start. With it, and half of the slack for executors,
	// answers with missing parts drop by a quarter in a fleet of 64 nodes.
	steadyShare = 0.75
	// burstShare is the share of the steady part that a node saves for a burst; the rest is
	// refilled over the window. With 0.35, large fleets perform worse.
	burstShare = 0.6
	// standaloneInitial bounds the initial tokens of a node if no node runs requests for others:
	// nodes that are killed get them again at each start. Executors get what steadyShare
	// leaves.
	standaloneInitial = 1
	// maxReserve bounds the tokens that hedges leave for retries, and reserveShare bounds them as
	// a share of the capacity.
	maxReserve   = 1
	reserveShare = 0.25
)

// ExtraLoad is the extra load that all nodes together may cause at a service, beyond the ratio that
// requests earn.
type ExtraLoad struct {
	// Attempts is how many extra attempts are allowed in any window.
	Attempts float64
	Window   time.Duration
}

// Budget returns the bounds of the extra load that the node may cause at a shard, in attempts, with
// Refill in attempts per second.
func (s Share) Budget(allowed ExtraLoad) hedge.Bounds {
	slack := s.fraction * allowed.Attempts / float64(max(s.nodeCounts.Total, 1))
	capacity := steadyShare * burstShare * slack
	refill := steadyShare * (1 - burstShare) * slack / allowed.Window.Seconds()
	initial := min((1-steadyShare)*slack, capacity)
	if s.standalone {
		initial = min(standaloneInitial, capacity)
	}
	return hedge.Bounds{Initial: initial, Capacity: capacity, Reserve: min(maxReserve, reserveShare*capacity), RefillRate: refill}
}
