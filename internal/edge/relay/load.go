package relay

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
	// requests to the nodes that took them: above it, they wait for the processor.
	fullUtilization = 0.6
	// loadMemory is the time constant of the load: some heartbeats, so that the
	// executors that a node can choose from are known to be full before they are.
	loadMemory = time.Second
)

// Load estimates the processor time that a node spends on attempts at leaves. It
// is pure: time comes in as an argument. It is not safe for concurrent use.
type Load struct {
	rate float64 // attempts a second
	at   time.Duration
}

// Add takes in attempts.
func (l *Load) Add(now time.Duration, attempts int) {
	l.rate = l.faded(now) + float64(attempts)/loadMemory.Seconds()
	l.at = now
}

// faded returns the rate as of now.
func (l *Load) faded(now time.Duration) float64 {
	return l.rate * math.Exp(-(now-l.at).Seconds()/loadMemory.Seconds())
}

// Room reports whether a node of that many cores can take more.
func (l *Load) Room(now time.Duration, cores float64) bool {
	return l.faded(now)*attemptCost.Seconds() < fullUtilization*cores
}
