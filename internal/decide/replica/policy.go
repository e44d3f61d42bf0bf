// Package replica chooses which of the leaves that hold a shard gets an
// attempt. It is pure: its only source of randomness is handed in.
package replica

import (
	"math/rand/v2"
)

// Policy names a way to choose a replica.
type Policy string

// The policies.
const (
	// Random takes any replica.
	Random Policy = "random"
	// LeastInFlight takes the replica with the fewest own attempts in flight.
	LeastInFlight Policy = "least_in_flight"
	// PowerOfTwo takes the one with fewer attempts in flight out of two
	// random replicas.
	PowerOfTwo Policy = "power_of_two"
	// LatencyInFlight avoids the replicas with many attempts in flight and
	// takes the one with the lowest latency among the others.
	LatencyInFlight Policy = "latency_in_flight"
	// WorkPriced takes the least (waiting work + incoming work) / rate.
	WorkPriced Policy = "work_priced"
	// ExpectedCompletion takes the earliest expected completion: the wait for
	// a free slot and the work itself, at the estimated speed.
	ExpectedCompletion Policy = "expected_completion"
)

// Policies lists all policies.
var Policies = []Policy{Random, LeastInFlight, PowerOfTwo, LatencyInFlight, WorkPriced, ExpectedCompletion}

// Candidate is what is known of one replica at the moment of the choice.
type Candidate struct {
	// InFlight is the number of own attempts in flight.
	InFlight int
	// Others is the estimated number of attempts of other nodes on the leaf.
	Others float64
	// Slots is the number of attempts that the leaf runs at once.
	Slots int
	// Limit is the number of own attempts that may be in flight.
	Limit int
	// Slowness is the ratio of its time to that of an ordinary leaf.
	Slowness float64
	// Loss is the share of its attempts that it loses.
	Loss float64
	// Latency is the running mean of its latency, in seconds.
	Latency float64
	// Near is set if the leaf is in the zone of the node.
	Near bool
}

// Full reports whether the limit of own attempts is reached.
func (c *Candidate) Full() bool {
	return c.InFlight >= c.Limit
}

// Work is the work to be placed, in seconds on an ordinary leaf.
type Work struct {
	// Base is the time of the attempt itself.
	Base float64
	// Mean is the mean time of the attempts in flight and waiting.
	Mean float64
	// Ahead is the number of attempts that wait in the node for these
	// replicas and go first.
	Ahead int
}

// Chooser chooses among replicas. It is not safe for concurrent use.
type Chooser struct {
	policy Policy
	score  ScoreConfig
	random *rand.Rand
}

// NewChooser returns a Chooser that draws from random.
func NewChooser(policy Policy, score ScoreConfig, random *rand.Rand) Chooser {
	return Chooser{policy: policy, score: score, random: random}
}

// Choose returns the index of the replica to take. There must be at least one
// candidate. The chosen one may be full: then the attempt waits for it.
func (h *Chooser) Choose(candidates []Candidate, work Work) int {
	if len(candidates) == 1 {
		return 0
	}
	switch h.policy {
	case Random:
		return h.random.IntN(len(candidates))
	case PowerOfTwo:
		return h.powerOfTwo(candidates)
	default:
		return h.least(candidates, work)
	}
}

// least returns the candidate with the lowest score. Among equal scores a
// near candidate wins, and then chance decides.
func (h *Chooser) least(candidates []Candidate, work Work) int {
	best, bestScore, equals := 0, h.scoreOf(&candidates[0], work), 1
	for index := 1; index < len(candidates); index++ {
		current := h.scoreOf(&candidates[index], work)
		margin := h.score.Tie * bestScore
		switch {
		case current < bestScore-margin:
			best, bestScore, equals = index, current, 1
		case current > bestScore+margin:
		case candidates[index].Near != candidates[best].Near:
			if candidates[index].Near {
				best, bestScore, equals = index, current, 1
			}
		default:
			equals++
			if h.random.IntN(equals) == 0 {
				best, bestScore = index, current
			}
		}
	}
	return best
}

func (h *Chooser) powerOfTwo(candidates []Candidate) int {
	first := h.random.IntN(len(candidates))
	second := h.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if candidates[second].InFlight < candidates[first].InFlight {
		return second
	}
	return first
}
