package replica

import (
	"math"
	"time"
)

// SlownessConfig holds the policy of a SlownessEstimator.
type SlownessConfig struct {
	// Retention is the weight that previous samples keep with each completed attempt, from 0 to 1.
	// 0.93 corresponds to a window of about 14 attempts.
	Retention float64
	// DecayTime is the time constant with which previous samples also lose weight when an attempt
	// completes, so that a leaf that is seldom tried is judged by its latest attempts. Without
	// it and without frequent probes, a recovered leaf gets 2 % of the attempts after three
	// seconds; with both, it gets 20 % or more.
	DecayTime time.Duration
	// PriorAttempts is the number of ordinary attempts assumed before the first one, so that a
	// single slow attempt does not make a leaf a straggler.
	PriorAttempts float64
}

// DefaultSlownessConfig returns the default policy.
func DefaultSlownessConfig() SlownessConfig {
	return SlownessConfig{
		Retention:     0.93,
		DecayTime:     time.Second,
		PriorAttempts: 2,
	}
}

// SlownessEstimator estimates how slow a leaf is: the ratio of the time that its attempts take to
// the expected time on an ordinary leaf.
//
// It estimates the mean of an exponential distribution from censored samples: the total time
// spent by completed and abandoned attempts, divided by the number of completed ones. Attempts
// that are still running or were abandoned thus reveal a straggler before its first reply.
// Samples lose weight with each newer one. All times are ratios to the expected time.
type SlownessEstimator struct {
	config        *SlownessConfig
	exposure      float64
	count         float64
	lastCompleted time.Duration // when the last attempt completed
}

// NewSlownessEstimator returns a SlownessEstimator without samples. It retains config.
func NewSlownessEstimator(config *SlownessConfig) SlownessEstimator {
	return SlownessEstimator{config: config}
}

// RecordCompleted records an attempt that was answered now, after ratio times the expected time.
func (s *SlownessEstimator) RecordCompleted(now time.Duration, ratio float64) {
	decay := math.Exp(-float64(now-s.lastCompleted) / float64(s.config.DecayTime))
	retained := min(s.config.Retention, decay)
	if ratio*recoveryRatio < s.Slowness(0) {
		retained = min(retained, recoveryRetention)
	}
	s.exposure = s.exposure*retained + ratio
	s.count = s.count*retained + 1
	s.lastCompleted = now
}

// A reply that is faster than the estimate by recoveryRatio is unlikely to be chance: the leaf has
// recovered. Previous samples then keep only recoveryRetention of their weight.
const (
	recoveryRatio     = 2
	recoveryRetention = 0.5
)

// RecordAbandoned records an attempt that was abandoned without an answer after ratio times the
// expected time. A time below the expected one carries no information.
func (s *SlownessEstimator) RecordAbandoned(ratio float64) {
	s.exposure += Overdue(ratio)
}

// Slowness returns the estimate. overdue is the sum of Overdue over the attempts that are still
// running.
func (s *SlownessEstimator) Slowness(overdue float64) float64 {
	return (s.exposure + overdue + s.config.PriorAttempts) / (s.count + s.config.PriorAttempts)
}

// Overdue returns by how much an attempt without an answer exceeds the expected time.
func Overdue(ratio float64) float64 {
	return max(ratio-1, 0)
}
