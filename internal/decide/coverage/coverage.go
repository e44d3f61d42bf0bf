// Package coverage decides when a query is settled although shards are missing. It is
// pure.
//
// Rule: a query with enough answered shards settles after a share of the time until its
// objective, and shortly before its deadline at the latest. One that can no longer reach
// enough shards is known as such, so that it can end at once.
//
// Inputs: numbers of shards, the least share of them from 0 to 1, times as durations since
// one origin.
//
// Reason: an answer after its objective is worth little, and one after its deadline
// nothing. The values and their measurement are with DefaultConfig.
package coverage

import "time"

// Progress is the state of a query's shards. Shards that are neither answered
// nor unavailable are still awaited.
type Progress struct {
	Total       int
	Answered    int
	Unavailable int // no leaf is left that could answer
}

// Config holds the policy of settling.
type Config struct {
	// Margin is how long before its deadline a query with enough coverage is
	// settled.
	DeadlineMargin time.Duration
	// MarginShare bounds Margin by a share of the time that the query was
	// given.
	MaxMarginShare float64
	// ObjectiveShare is the share of the time until a query's objective after
	// which it settles, if its coverage is enough.
	ObjectiveShare float64
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		// Not measured: chosen as the time in which an answer reaches its caller.
		DeadlineMargin: 5 * time.Millisecond,
		// Not measured: chosen so that short queries keep most of their time.
		MaxMarginShare: 0.05,
		// Paired trials, worth: 0.7566 with 0.95 in place of 0.7585; 0.93 within 0.01 or
		// worse (six days a site).
		ObjectiveShare: 0.9,
	}
}

// SettleAt returns the time from which a query that was submitted at start
// settles if its coverage is enough. An objective of zero is none.
func (c Config) SettleAt(start, deadline, objective time.Duration) time.Duration {
	margin := min(c.DeadlineMargin, time.Duration(c.MaxMarginShare*float64(deadline-start)))
	latest := deadline - max(margin, 0)
	if objective <= start {
		return latest
	}
	return min(latest, start+time.Duration(c.ObjectiveShare*float64(objective-start)))
}

// Whole reports whether every shard is answered.
func (p Progress) Whole() bool {
	return p.Answered == p.Total
}

// Hopeless reports whether no shard is answered and none can be.
func (p Progress) Hopeless() bool {
	return p.Unavailable == p.Total
}

// Enough reports whether the share of answered shards reaches the minimum.
// No answer at all is never enough.
func (p Progress) Enough(minimum float64) bool {
	return p.Answered > 0 && float64(p.Answered) >= minimum*float64(p.Total)-roundingError
}

// roundingError, in shards, is what the product of a share and a number of shards may
// lie above the whole number that is meant.
const roundingError = 1e-9

// Attainable reports whether the share of answered shards can still reach the
// minimum.
func (p Progress) Attainable(minimum float64) bool {
	reachable := Progress{Total: p.Total, Answered: p.Total - p.Unavailable}
	return reachable.Enough(minimum)
}

// Exhausted reports whether no awaited shard is left.
func (p Progress) Exhausted() bool {
	return p.Answered+p.Unavailable == p.Total
}
