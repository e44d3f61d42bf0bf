// Package admission decides whether a query is taken, from the wait that is
// predicted for it. It is pure.
package admission

import "time"

// Config holds the policy of admission.
type Config struct {
	// Disabled takes every query; it is meant for experiments.
	Disabled bool
	// Safety is the share of the remaining time that the predicted time may
	// fill. Default 0.7.
	Safety float64
	// Spread is the factor on the expected time of one attempt that covers
	// the slowest of many. Default 2.
	Spread float64
	// RetryMinimum and RetryMaximum bound the time after which a refused
	// caller may ask again. Defaults 50 ms and 5 s.
	RetryMinimum, RetryMaximum time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Safety:       0.7,
		Spread:       2,
		RetryMinimum: 50 * time.Millisecond,
		RetryMaximum: 5 * time.Second,
	}
}

// Prediction is what is known of a query at its submission.
type Prediction struct {
	// Wait is the time until its last shard gets a slot.
	Wait time.Duration
	// Service is the time of one attempt.
	Service time.Duration
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// Admit reports whether the query is taken.
func (c Config) Admit(p Prediction) bool {
	if c.Disabled {
		return true
	}
	if p.Wait <= 0 {
		return p.Remaining > 0
	}
	predicted := float64(p.Wait) + c.Spread*float64(p.Service)
	return predicted <= c.Safety*float64(p.Remaining)
}

// RetryAfter returns when a refused caller may ask again: after the work that
// was in the way is done.
func (c Config) RetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, c.RetryMinimum), c.RetryMaximum)
}
