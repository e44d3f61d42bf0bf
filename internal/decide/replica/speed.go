package replica

import (
	"math"
	"time"
)

// SpeedConfig holds the policy of a Speed.
type SpeedConfig struct {
	// Memory is the weight kept by the past with each completed attempt, from
	// 0 to 1.
	Retention float64
	// Forget is the time constant with which the past loses weight, beside
	// Memory, when an attempt is completed: a leaf that is seldom tried is
	// judged by the last tries.
	DecayTime time.Duration
	// Prior is the number of ordinary attempts assumed before the first one.
	PriorAttempts float64
}

// DefaultSpeedConfig returns the defaults.
func DefaultSpeedConfig() SpeedConfig {
	return SpeedConfig{
		// Not measured against others: chosen as a window of about 14 attempts.
		Retention: 0.93,
		// Without it, and without probes that follow each other faster, a leaf that
		// recovered got 2 of 100 attempts after three seconds, 20 or more with both. Other
		// times were not compared.
		DecayTime: time.Second,
		// Not measured: chosen so that one slow attempt does not make a straggler.
		PriorAttempts: 2,
	}
}

// Speed estimates how slow a leaf is: the ratio of the time that its attempts
// take to the time expected on an ordinary leaf.
//
// It is the estimate of the mean of an exponential distribution from censored
// samples: the sum of the times spent, by completed and by given up attempts,
// over the number of completed ones. So attempts that are still running, or
// were given up, show a straggler before its first reply. Samples lose
// weight with each newer one. All times are ratios to the expected time.
type Speed struct {
	config        *SpeedConfig
	exposure      float64
	count         float64
	lastCompleted time.Duration // when an attempt was completed
}

// NewSpeed returns a Speed without samples. It keeps config.
func NewSpeed(config *SpeedConfig) Speed {
	return Speed{config: config}
}

// Completed records an attempt that was answered now, after ratio times the
// expected time.
func (s *Speed) Completed(now time.Duration, ratio float64) {
	decay := math.Exp(-float64(now-s.lastCompleted) / float64(s.config.DecayTime))
	retained := min(s.config.Retention, decay)
	if ratio*recoveryRatio < s.Slowness(0) {
		retained = min(retained, recoveryRetention)
	}
	s.exposure = s.exposure*retained + ratio
	s.count = s.count*retained + 1
	s.lastCompleted = now
}

// A reply that is faster than the estimate by the factor surprise is seldom
// chance: the leaf has recovered. Then the past loses half of its weight. Neither
// number was compared with others.
const (
	recoveryRatio     = 2
	recoveryRetention = 0.5
)

// GaveUp records an attempt that had no answer after ratio times the expected
// time. Less than the expected time says nothing.
func (s *Speed) GaveUp(ratio float64) {
	s.exposure += Overdue(ratio)
}

// Slowness returns the estimate. overdue is the sum of Overdue over the
// attempts that are still running.
func (s *Speed) Slowness(overdue float64) float64 {
	return (s.exposure + overdue + s.config.PriorAttempts) / (s.count + s.config.PriorAttempts)
}

// Overdue returns by how much an attempt without an answer exceeds the
// expected time.
func Overdue(ratio float64) float64 {
	return max(ratio-1, 0)
}
