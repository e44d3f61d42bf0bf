// Package admission decides whether a query is admitted, from its predicted wait, and when a
// rejected caller may retry. It is pure.
//
// Rule: a query that does not have to wait is admitted until its deadline. Any other query is
// admitted if its predicted wait and service time together fill at most a fraction of its
// remaining time. The fraction depends on the query's urgency and on whether the service is
// saturated.
//
// Inputs: see Prediction. Times are durations, shares lie between 0 and 1.
//
// Reason: an immediate rejection costs the caller less than a missed deadline.
package admission

import "time"

// Config holds the admission policy.
type Config struct {
	// UrgentShare is the share of the remaining time that the predicted time of the most urgent
	// queries may fill. It is below 1 to leave room for prediction errors.
	UrgentShare float64
	// NormalShare replaces UrgentShare for other queries while the service is not saturated. It
	// is close to 1 because queries that wait too long are promoted to the most urgent class.
	NormalShare float64
	// SaturatedShare replaces UrgentShare for all but the most urgent queries while the service is
	// saturated. Such queries may starve, so predictions based on past queries are too optimistic.
	// NonUrgentFactor times Prediction.NonUrgentShare is added to it, up to UrgentShare.
	SaturatedShare float64
	// NonUrgentFactor scales Prediction.NonUrgentShare. Without this term, useful work drops from
	// 97 % to 85 % of the slots at 150 % load.
	NonUrgentFactor float64
	// SlowestFactor scales the expected time of one attempt to cover the slowest of many, which
	// takes about twice the mean.
	SlowestFactor float64
	// RetryMinimum and RetryMaximum bound the time after which a rejected caller may retry. The
	// minimum prevents retries that would find the same queue, the maximum lets callers return
	// soon after an overload.
	RetryMinimum, RetryMaximum time.Duration
}

// DefaultConfig returns the default policy.
func DefaultConfig() Config {
	return Config{
		UrgentShare: 0.8,
		NormalShare: 0.95,
		// Without the stricter bound, up to 1.8 % of the urgent queries lose shards at 150 % load.
		SaturatedShare:  0.04,
		NonUrgentFactor: 0.8,
		SlowestFactor:   2,
		RetryMinimum:    50 * time.Millisecond,
		RetryMaximum:    5 * time.Second,
	}
}

// Prediction holds what is known about a query when it is submitted.
type Prediction struct {
	// Wait is the predicted time until the query's last shard gets a slot.
	Wait time.Duration
	// Service is the expected time of one attempt.
	Service time.Duration
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Urgent is set if no class of the service has a higher priority.
	Urgent bool
	// Saturated is set if no leaf of the service has a free slot.
	Saturated bool
	// NonUrgentShare is the share of completed work, from 0 to 1, that was not of the most urgent
	// class.
	NonUrgentShare float64
}

// Admit reports whether the query is admitted.
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
		return min(c.SaturatedShare+c.NonUrgentFactor*p.NonUrgentShare, c.UrgentShare)
	default:
		return c.NormalShare
	}
}

// RetryAfter returns the time after which a rejected caller may retry: the predicted wait, by
// which the work queued ahead of the query is done, within the bounds.
func (c Config) RetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, c.RetryMinimum), c.RetryMaximum)
}
