package replica

import (
	"math"
	"time"
)

// LossConfig holds the policy of Losses.
type LossConfig struct {
	// Forget is the time constant with which attempts lose weight.
	DecayTime time.Duration
	// Prior is the number of answered attempts assumed before the first one.
	PriorAttempts float64
}

// DefaultLossConfig returns the defaults.
func DefaultLossConfig() LossConfig {
	return LossConfig{
		// Not measured: chosen because a node sends a few attempts a second to a leaf, and a
		// leaf that recovered should not be avoided for much longer than that.
		DecayTime: 3 * time.Second,
		// Not measured: chosen so that one lost attempt does not count as a lossy leaf.
		PriorAttempts: 3,
	}
}

// Losses estimates the share of its attempts that a leaf loses: those that it
// fails, or whose answers do not come whole. The zero value has seen none.
type Losses struct {
	lost, ended float64
	updatedAt   time.Duration
}

// Ended takes in the end of an attempt.
func (l *Losses) Ended(config *LossConfig, now time.Duration, lost bool) {
	decay := l.decay(config, now)
	l.lost *= decay
	l.ended = l.ended*decay + 1
	l.updatedAt = now
	if lost {
		l.lost++
	}
}

// Share returns the estimate, from 0 to below 1.
func (l *Losses) Share(config *LossConfig, now time.Duration) float64 {
	if l.lost == 0 {
		return 0
	}
	decay := l.decay(config, now)
	return l.lost * decay / (l.ended*decay + config.PriorAttempts)
}

// kept is the weight that is left of what was seen.
func (l *Losses) decay(config *LossConfig, now time.Duration) float64 {
	return math.Exp(-float64(now-l.updatedAt) / float64(config.DecayTime))
}
