package executors

import (
	"math"
	"time"
)

const (
	// attemptCost is the processor time that an attempt at a leaf takes on a core
	// of ordinary speed, with its share of choosing and merging: 0.064 of a core at
	// 700 attempts a second, as measured on executors of 295 nodes.
	attemptCost = 100 * time.Microsecond
	// fullUtilization is the part of its cores from which an executor leaves
	// requests to the nodes that received them: above it, they wait for the
	// processor. Not measured: chosen well below the whole.
	maxUtilization = 0.6
	// loadMemory is the time constant of the load. Not measured: chosen as some
	// heartbeats, so that the executors that a node can choose from are known to be
	// full before they are.
	loadDecayTime = time.Second
	// queriesPerCore bounds the queries that run on a node for it to take more of
	// other nodes: they take memory while they wait for leaves. Not measured.
	queriesPerCore = 50
)

// Load estimates the processor time that a node spends on attempts at leaves. It
// is not safe for concurrent use.
type Load struct {
	rate float64 // attempts a second
	at   time.Duration
}

// Add counts attempts.
func (l *Load) Add(now time.Duration, attempts int) {
	l.rate = l.rateAt(now) + float64(attempts)/loadDecayTime.Seconds()
	l.at = now
}

// rateAt returns the rate as of now.
func (l *Load) rateAt(now time.Duration) float64 {
	return l.rate * math.Exp(-(now-l.at).Seconds()/loadDecayTime.Seconds())
}

// Room reports whether the processor of a node with some cores can take more.
func (l *Load) HasCapacity(now time.Duration, cores float64) bool {
	return l.rateAt(now)*attemptCost.Seconds() < maxUtilization*cores
}

// Accepts reports whether a node with some cores, on which some queries run, takes
// requests of other nodes.
func (l *Load) Accepts(now time.Duration, cores float64, queries int) bool {
	return float64(queries) < queriesPerCore*cores && l.HasCapacity(now, cores)
}
