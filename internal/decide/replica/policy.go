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

// tieTolerance is the relative difference up to which two scores count as
// equal, so that the zone decides.
const tieTolerance = 0.03

// Choose returns the index of the replica to take. There must be at least one
// candidate. The chosen one may be full: then the attempt waits for it.
func Choose(policy Policy, random *rand.Rand, candidates []Candidate, work Work) int {
	if len(candidates) == 1 {
		return 0
	}
	switch policy {
	case Random:
		return random.IntN(len(candidates))
	case PowerOfTwo:
		return powerOfTwo(random, candidates)
	case LatencyInFlight:
		return latencyInFlight(random, candidates)
	case LeastInFlight:
		return least(random, candidates, func(c *Candidate) float64 { return float64(c.InFlight) })
	case WorkPriced:
		return least(random, candidates, func(c *Candidate) float64 { return PricedWork(c, work) })
	default:
		return least(random, candidates, func(c *Candidate) float64 { return Completion(c, work) })
	}
}

// least returns the candidate with the lowest score. Among equal scores a
// near candidate wins, and then chance decides.
func least(random *rand.Rand, candidates []Candidate, score func(*Candidate) float64) int {
	best, bestScore, equals := 0, score(&candidates[0]), 1
	for index := 1; index < len(candidates); index++ {
		current := score(&candidates[index])
		margin := tieTolerance * bestScore
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
			if random.IntN(equals) == 0 {
				best, bestScore = index, current
			}
		}
	}
	return best
}

func powerOfTwo(random *rand.Rand, candidates []Candidate) int {
	first := random.IntN(len(candidates))
	second := random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if candidates[second].InFlight < candidates[first].InFlight {
		return second
	}
	return first
}

// latencyInFlight follows the rule of Prequal: a replica is hot if it has more
// in flight than its slots share out; cold ones are ordered by latency, and
// if all are hot the one with the fewest in flight is taken.
func latencyInFlight(random *rand.Rand, candidates []Candidate) int {
	const hotShare = 0.84
	const hotPenalty = 1e6
	return least(random, candidates, func(c *Candidate) float64 {
		total := float64(c.InFlight) + c.Others
		if total > hotShare*float64(c.Slots) {
			return hotPenalty * (1 + total)
		}
		return c.Latency
	})
}
