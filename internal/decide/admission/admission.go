// Package admission decides whether a query is taken, from the wait that is
// predicted for it, and when a refused caller may retry. It is pure.
//
// Rule: a query without a wait is taken. Any other is taken if its predicted wait and
// service time fill at most a share of its remaining time; the share depends on its
// urgency and on whether the service is saturated.
//
// Inputs: see Prediction; times are durations, shares lie between 0 and 1.
//
// Reason: a refusal at once costs the caller less than a deadline that passes. The values
// and their measurement are with DefaultConfig.
package admission

import "time"

// Config holds the policy of admission.
type Config struct {
	// Safety is the share of the remaining time that the predicted time of the
	// most urgent work may fill.
	UrgentShare float64
	// Lenient takes the place of Safety for other work while the service is
	// not saturated: what waits too long is served as the most urgent then.
	NormalShare float64
	// Strict takes the place of Safety for all but the most urgent work while
	// the service is saturated: such work may starve, and predictions from
	// its past are too good. Relief times the share of the work that the most
	// urgent work leaves is added to it.
	SaturatedShare float64
	// Relief is the factor of that share.
	NonUrgentFactor float64
	// Spread is the factor on the expected time of one attempt that covers
	// the slowest of many.
	SlowestFactor float64
	// RetryMinimum and RetryMaximum bound the time after which a refused
	// caller may retry.
	RetryMinimum, RetryMaximum time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		// Not measured against others: chosen because predictions are wrong by some.
		UrgentShare: 0.8,
		// Not measured by itself: chosen close to 1 because work that waits too long is
		// promoted.
		NormalShare: 0.95,
		// Simulated at 150 % load: without strictness 0.9973 and 0.9825 of the urgent queries
		// whole in place of 1.0000; with Strict alone, without Relief, useful work of 0.85
		// of all slots in place of 0.97 or more.
		SaturatedShare: 0.04,
		// As Strict. Other values were not compared.
		NonUrgentFactor: 0.8,
		// Not measured: chosen because the slowest of many attempts takes about twice the
		// mean.
		SlowestFactor: 2,
		// Not measured: chosen so that a caller does not retry within one queue.
		RetryMinimum: 50 * time.Millisecond,
		// Not measured: chosen so that callers return soon after an overload.
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
	// Urgent is set if no class of the service has a higher priority.
	Urgent bool
	// Saturated is set if no leaf of the service has a free slot.
	Saturated bool
	// Left is the share of the work done, from 0 to 1, that the most urgent
	// work leaves to the rest.
	Left float64
}

// Admit reports whether the query is taken.
func (c Config) Admit(p Prediction) bool {
	if p.Wait <= 0 {
		return p.Remaining > 0
	}
	predicted := float64(p.Wait) + c.SlowestFactor*float64(p.Service)
	return predicted <= c.share(p)*float64(p.Remaining)
}

// share returns the share of the remaining time that the prediction may fill.
func (c Config) share(p Prediction) float64 {
	switch {
	case p.Urgent:
		return c.UrgentShare
	case p.Saturated:
		return min(c.SaturatedShare+c.NonUrgentFactor*p.Left, c.UrgentShare)
	default:
		return c.NormalShare
	}
}

// RetryAfter returns the time after which a refused caller may retry: when the work that
// was in its way is done.
func (c Config) RetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, c.RetryMinimum), c.RetryMaximum)
}
