package executors

import (
	"math"
	"time"
)

const (
	// attemptCost is the processor time of an attempt at a leaf on a core of ordinary speed,
	// including its part of choosing and merging. An executor uses 0.064 of a core at 700
	// attempts per second.
	attemptCost = 100 * time.Microsecond
	// maxUtilization is the share of its cores from which an executor refuses requests of other
	// nodes. It is well below 1, since requests queue for the processor before it is fully used.
	maxUtilization = 0.6
	// loadDecayTime is the time constant of the load. It spans several heartbeats, so that nodes
	// learn that an executor is full before it is overloaded.
	loadDecayTime = time.Second
	// queriesPerCore bounds the queries that run on a node which accepts requests of other nodes,
	// since queries use memory while they wait for leaves.
	queriesPerCore = 50
)

// Load estimates the processor time that a node spends on attempts at leaves. It is not safe for
// concurrent use.
type Load struct {
	rate      float64 // attempts per second
	updatedAt time.Duration
}

// Add records attempts.
func (l *Load) Add(now time.Duration, attempts int) {
	l.rate = l.rateAt(now) + float64(attempts)/loadDecayTime.Seconds()
	l.updatedAt = now
}

// rateAt returns the decayed rate at the time now.
func (l *Load) rateAt(now time.Duration) float64 {
	return l.rate * math.Exp(-(now-l.updatedAt).Seconds()/loadDecayTime.Seconds())
}

// HasCapacity reports whether the processor of a node with the given cores can run more attempts.
func (l *Load) HasCapacity(now time.Duration, cores float64) bool {
	return l.rateAt(now)*attemptCost.Seconds() < maxUtilization*cores
}

// Accepts reports whether a node with the given cores and number of running queries accepts
// requests of other nodes.
func (l *Load) Accepts(now time.Duration, cores float64, queries int) bool {
	return float64(queries) < queriesPerCore*cores && l.HasCapacity(now, cores)
}
