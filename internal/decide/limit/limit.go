// Package limit adapts how many attempts one node keeps in flight on one leaf.
//
// A leaf has few slots and is shared by several nodes that do not talk about
// it. The limit grows by a fraction of one while attempts succeed without a
// queue on the leaf, and shrinks by a factor when the leaf refuses work or
// queues it, so that the nodes converge to shares of the slots and the waiting
// happens in the nodes. The package is pure: time comes in as an argument.
package limit

import (
	"math"
	"time"
)

// Config holds the policy of a Limiter.
type Config struct {
	// Disabled removes the limit; it is meant for experiments.
	Disabled bool
	// Headroom is how many attempts more than the slots of the leaf may be in
	// flight, so that a slot does not idle for a round trip. Default 1.
	Headroom int
	// Backoff is the factor applied when a leaf refuses. Default 0.7.
	Backoff float64
	// QueueBackoff is the factor applied when a leaf queues more than
	// QueueTolerance attempts for each slot. Default 0.9.
	QueueBackoff float64
	// QueueTolerance is the queue length, as a share of the slots, that is
	// taken without backing off. Default 0.5.
	QueueTolerance float64
	// Growth is added to the limit, divided by the limit, for each success at
	// the limit. Default 1.
	Growth float64
	// Pause is the shortest time between two reductions. Default 10 ms.
	Pause time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Headroom:       1,
		Backoff:        0.7,
		QueueBackoff:   0.9,
		QueueTolerance: 0.5,
		Growth:         1,
		Pause:          10 * time.Millisecond,
	}
}

// Limiter is the limit of one leaf. The zero value is not usable; see New.
type Limiter struct {
	config      *Config
	slots       int
	limit       float64
	starting    bool
	nextReduced time.Duration
}

// New returns a Limiter for a leaf with the given slots. It keeps config.
// A cold leaf starts at one attempt and doubles with its successes.
func New(config *Config, slots int, cold bool) Limiter {
	limiter := Limiter{config: config}
	limiter.Resize(slots)
	limiter.Restart(cold)
	return limiter
}

// Resize sets the number of slots; fewer than one counts as one.
func (l *Limiter) Resize(slots int) {
	l.slots = max(slots, 1)
	l.limit = min(l.limit, l.ceiling())
}

// Restart forgets what was learned, after the leaf was started anew.
func (l *Limiter) Restart(cold bool) {
	l.limit = float64(l.slots)
	l.starting = cold
	if cold {
		l.limit = 1
	}
}

// Starting reports whether the limit still doubles from a cold start.
func (l *Limiter) Starting() bool {
	return l.starting
}

// Current returns the limit, at least one.
func (l *Limiter) Current() int {
	if l.config.Disabled {
		return math.MaxInt32
	}
	return int(l.limit)
}

// Succeeded tells of a reply. The number in flight counts the attempt that
// succeeded; queue is the length of the queue that the leaf reported.
func (l *Limiter) Succeeded(now time.Duration, inFlight, queue int) {
	if float64(queue) > l.config.QueueTolerance*float64(l.slots) {
		l.reduce(now, l.config.QueueBackoff)
		return
	}
	if l.starting {
		l.limit = min(l.limit+1, l.ceiling())
		l.starting = l.limit < float64(l.slots)
		return
	}
	if inFlight >= l.Current() {
		l.limit = min(l.limit+l.config.Growth/l.limit, l.ceiling())
	}
}

// Refused tells that the leaf shed an attempt.
func (l *Limiter) Refused(now time.Duration) {
	l.reduce(now, l.config.Backoff)
}

func (l *Limiter) reduce(now time.Duration, factor float64) {
	if now < l.nextReduced {
		return
	}
	l.nextReduced = now + l.config.Pause
	l.limit = max(l.limit*factor, 1)
	l.starting = false
}

func (l *Limiter) ceiling() float64 {
	return float64(l.slots + l.config.Headroom)
}
