// Package limit decides how many attempts one node keeps in flight on one leaf. It is pure:
// time is passed in as an argument.
//
// Rule: additive increase, multiplicative decrease. The limit grows by a fraction of one while
// attempts succeed without a queue on the leaf, and shrinks by a factor when the leaf refuses
// or queues work. The nodes that share the few slots of a leaf thus converge to shares of the
// slots without communication, and requests wait in the nodes.
//
// Inputs: the slots of the leaf, this node's attempts in flight, the queue depth that the leaf
// reports (in attempts), refusals because of load, and the time between two reductions.
//
// Reason: a request that waits in a node can be reordered by priority and cancelled, a request
// that waits at a leaf cannot. At 150 % load, only about half of the urgent queries reach all
// their shards without a limit, and all of them do with it.
package limit

import "time"

// Config holds the policy of a Limiter.
type Config struct {
	// Headroom is how many attempts beyond the slots of the leaf may be in flight, so that a slot
	// does not idle for a round trip.
	Headroom int
	// RefusalBackoff is the factor applied when a leaf refuses an attempt. Two refusals halve the
	// limit.
	RefusalBackoff float64
	// QueueBackoff is the factor applied when a leaf queues more than QueueTolerance attempts per
	// slot. It is milder than RefusalBackoff, since queueing precedes refusals.
	QueueBackoff float64
	// QueueTolerance is the queue depth, as a share of the slots, that does not reduce the limit.
	// A short queue keeps the slots busy.
	QueueTolerance float64
	// Growth is added to the limit, divided by the limit, for each success at the limit. 1 is the
	// usual additive increase of one per round.
	Growth float64
	// MinReductionInterval is the shortest time between two reductions, so that refusals of
	// attempts that were in flight together count once.
	MinReductionInterval time.Duration
}

// DefaultConfig returns the default policy.
func DefaultConfig() Config {
	return Config{
		Headroom:             1,
		RefusalBackoff:       0.7,
		QueueBackoff:         0.9,
		QueueTolerance:       0.5,
		Growth:               1,
		MinReductionInterval: 10 * time.Millisecond,
	}
}

// Limiter limits the attempts in flight on one leaf. Use New to create one; the zero value is
// not usable.
type Limiter struct {
	config        *Config
	slots         int
	limit         float64
	slowStart     bool
	nextReduction time.Duration
}

// New returns a Limiter for a leaf with the given number of slots. It retains config. A cold
// leaf starts with a limit of one, which doubles per round of successes.
func New(config *Config, slots int, cold bool) Limiter {
	limiter := Limiter{config: config}
	limiter.SetSlots(slots)
	limiter.Reset(cold)
	return limiter
}

// SetSlots sets the number of slots, at least one.
func (l *Limiter) SetSlots(slots int) {
	l.slots = max(slots, 1)
	l.limit = min(l.limit, l.maxLimit())
}

// Reset resets the limit after the leaf restarted.
func (l *Limiter) Reset(cold bool) {
	l.limit = float64(l.slots)
	l.slowStart = cold
	if cold {
		l.limit = 1
	}
}

// Current returns the limit, which is at least one.
func (l *Limiter) Current() int {
	return int(l.limit)
}

// RecordSuccess records a reply. inFlight includes the attempt that succeeded; queue is the queue
// depth that the leaf reported.
func (l *Limiter) RecordSuccess(now time.Duration, inFlight, queue int) {
	if float64(queue) > l.config.QueueTolerance*float64(l.slots) {
		l.reduce(now, l.config.QueueBackoff)
		return
	}
	if l.slowStart {
		l.limit = min(l.limit+1, l.maxLimit())
		l.slowStart = l.limit < float64(l.slots)
		return
	}
	if inFlight >= l.Current() {
		l.limit = min(l.limit+l.config.Growth/l.limit, l.maxLimit())
	}
}

// RecordRefusal records that the leaf refused an attempt because of load.
func (l *Limiter) RecordRefusal(now time.Duration) {
	l.reduce(now, l.config.RefusalBackoff)
}

func (l *Limiter) reduce(now time.Duration, factor float64) {
	if now < l.nextReduction {
		return
	}
	l.nextReduction = now + l.config.MinReductionInterval
	l.limit = max(l.limit*factor, 1)
	l.slowStart = false
}

func (l *Limiter) maxLimit() float64 {
	return float64(l.slots + l.config.Headroom)
}
