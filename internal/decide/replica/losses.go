package replica

import (
	"math"
	"time"
)

// LossConfig holds the policy of Losses.
type LossConfig struct {
	// Forget is the time constant with which attempts lose weight.
	Forget time.Duration
	// Prior is the number of answered attempts assumed before the first one.
	Prior float64
}

// DefaultLossConfig returns the defaults.
func DefaultLossConfig() LossConfig {
	return LossConfig{
		// Not measured: chosen because a node sends a few attempts a second to a leaf, and a
		// leaf that recovered should not be avoided for much longer than that.
		Forget: 3 * time.Second,
		// Not measured: chosen so that one lost attempt does not count as a lossy leaf.
		Prior: 3,
	}
}

// Losses estimates the share of its attempts that a leaf loses: those that it
// fails, or whose answers do not come whole. The zero value has seen none.
type Losses struct {
	lost, ended float64
	at          time.Duration
}

// Ended takes in the end of an attempt.
func (l *Losses) Ended(config *LossConfig, now time.Duration, lost bool) {
	kept := l.kept(config, now)
	l.lost *= kept
	l.ended = l.ended*kept + 1
	l.at = now
	if lost {
		l.lost++
	}
}

// Share returns the estimate, from 0 to below 1.
func (l *Losses) Share(config *LossConfig, now time.Duration) float64 {
	if l.lost == 0 {
		return 0
	}
	kept := l.kept(config, now)
	return l.lost * kept / (l.ended*kept + config.Prior)
}

// kept is the weight that is left of what was seen.
func (l *Losses) kept(config *LossConfig, now time.Duration) float64 {
	return math.Exp(-float64(now-l.at) / float64(config.Forget))
}
