package replica

import (
	"math"
	"time"
)

// LossConfig holds the policy of a LossEstimator.
type LossConfig struct {
	// DecayTime is the time constant with which attempts lose weight. A node sends a few attempts
	// per second to a leaf; a leaf that has recovered should not be avoided for much longer.
	DecayTime time.Duration
	// PriorAttempts is the number of answered attempts assumed before the first one, so that a
	// single loss does not make a leaf lossy.
	PriorAttempts float64
}

// DefaultLossConfig returns the default policy.
func DefaultLossConfig() LossConfig {
	return LossConfig{
		DecayTime:     3 * time.Second,
		PriorAttempts: 3,
	}
}

// LossEstimator estimates the share of its attempts that a leaf loses: attempts that fail, or whose
// answers are incomplete. The zero value is ready to use.
type LossEstimator struct {
	lost, ended float64
	updatedAt   time.Duration
}

// RecordEnd records the end of an attempt.
func (l *LossEstimator) RecordEnd(config *LossConfig, now time.Duration, lost bool) {
	decay := l.decay(config, now)
	l.lost *= decay
	l.ended = l.ended*decay + 1
	l.updatedAt = now
	if lost {
		l.lost++
	}
}

// LossRate returns the estimated share of lost attempts, from 0 to below 1.
func (l *LossEstimator) LossRate(config *LossConfig, now time.Duration) float64 {
	if l.lost == 0 {
		return 0
	}
	decay := l.decay(config, now)
	return l.lost * decay / (l.ended*decay + config.PriorAttempts)
}

// decay returns the remaining weight of the recorded attempts.
func (l *LossEstimator) decay(config *LossConfig, now time.Duration) float64 {
	return math.Exp(-float64(now-l.updatedAt) / float64(config.DecayTime))
}
