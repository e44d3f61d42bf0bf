// Package coverage decides when a query is settled although shards are missing. It is pure.
//
// Rule: a query with enough answered shards settles after a share of the time until its latency
// objective, at the latest shortly before its deadline. A query that can no longer reach enough
// shards is detected, so that it can end immediately.
//
// Inputs: numbers of shards, the minimum share of answered shards from 0 to 1, times as durations
// since a common origin.
//
// Reason: an answer after its objective has little value, an answer after its deadline has none.
package coverage

import "time"

// Progress is the state of a query's shards. Shards that are neither answered nor unavailable are
// still awaited.
type Progress struct {
	Total       int
	Answered    int
	Unavailable int // no leaf is left that could answer
}

// Config holds the settling policy.
type Config struct {
	// DeadlineMargin is how long before its deadline a query with enough coverage is settled: the
	// time in which an answer reaches its caller.
	DeadlineMargin time.Duration
	// MaxMarginShare bounds DeadlineMargin by a share of the query's time, so that short queries
	// keep most of their time.
	MaxMarginShare float64
	// ObjectiveShare is the share of the time until a query's objective after which the query
	// settles if it has enough coverage.
	ObjectiveShare float64
}

// DefaultConfig returns the default policy.
func DefaultConfig() Config {
	return Config{
		DeadlineMargin: 5 * time.Millisecond,
		MaxMarginShare: 0.05,
		ObjectiveShare: 0.9,
	}
}

// SettleAt returns the time from which a query submitted at start settles if it has enough
// coverage. An objective of zero means that there is none.
func (c Config) SettleAt(start, deadline, objective time.Duration) time.Duration {
	margin := min(c.DeadlineMargin, time.Duration(c.MaxMarginShare*float64(deadline-start)))
	latest := deadline - max(margin, 0)
	if objective <= start {
		return latest
	}
	return min(latest, start+time.Duration(c.ObjectiveShare*float64(objective-start)))
}

// Complete reports whether every shard is answered.
func (p Progress) Complete() bool {
	return p.Answered == p.Total
}

// Unanswerable reports whether all shards are unavailable, so that no answer is possible.
func (p Progress) Unanswerable() bool {
	return p.Unavailable == p.Total
}

// MeetsMinimum reports whether the share of answered shards reaches the minimum. Zero answered
// shards are never enough.
func (p Progress) MeetsMinimum(minimum float64) bool {
	return p.Answered > 0 && float64(p.Answered) >= minimum*float64(p.Total)-roundingError
}

// roundingError, in shards, bounds how far the product of a share and a number of shards may
// exceed the intended whole number.
const roundingError = 1e-9

// CanMeetMinimum reports whether the share of answered shards can still reach the minimum.
func (p Progress) CanMeetMinimum(minimum float64) bool {
	reachable := Progress{Total: p.Total, Answered: p.Total - p.Unavailable}
	return reachable.MeetsMinimum(minimum)
}

// NoneAwaited reports whether no awaited shard is left.
func (p Progress) NoneAwaited() bool {
	return p.Answered+p.Unavailable == p.Total
}
