package relay

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/edge/liveness"
	"github.com/micaplank/micaplank/internal/roster"
)

// Config is the policy of a Relay.
type Config struct {
	// HeartbeatInterval is the time between two questions to an executor.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is how long after its last answer an executor counts as
	// lost.
	HeartbeatTimeout time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{HeartbeatInterval: 250 * time.Millisecond, HeartbeatTimeout: 800 * time.Millisecond}
}

// latencyWeight is the weight of one request in an executor's mean latency.
const latencyWeight = 0.1

// slowFactor is how many times slower than another an executor must be, by its
// mean latency, to be passed over for it.
const slowFactor = 1.5

// target is what a node knows of one executor. Its member and whether it is near
// never change.
type target struct {
	roster.Member
	liveness.State
	// knownAt is since when it is asked.
	knownAt  time.Duration
	near     bool
	inFlight int
	// status is its last word.
	status Status
	// latency is the mean of its requests, in seconds; zero without one.
	latency float64
}

// board chooses among executors. It is pure: time comes in as an argument. It
// is not safe for concurrent use.
type board struct {
	config Config
	self   roster.Member
	// order holds all executors, those first that this node prefers.
	order []roster.Member
	// targets are the first of them, so many that watchedExecutors are not lost.
	targets []*target
}

// set replaces the executors; what is known of those that stay is kept. Requests
// that run on one that goes are left to finish.
func (b *board) set(now time.Duration, self roster.Member, executors []roster.Member) {
	b.self, b.order = self, roster.Preferred(self, executors)
	b.watch(now)
}

// watch chooses the executors to keep in touch with: the preferred ones, and a
// further one for each that is lost.
func (b *board) watch(now time.Duration) {
	known := make(map[string]*target, len(b.targets))
	for _, one := range b.targets {
		known[one.Name] = one
	}
	b.targets = b.targets[:0:0]
	inTouch := 0
	for _, member := range b.order {
		if inTouch == watchedExecutors {
			return
		}
		kept := known[member.Name]
		if kept == nil || kept.Member != member {
			kept = &target{Member: member, State: liveness.State{Weight: latencyWeight}, knownAt: now, near: member.Zone == b.self.Zone}
		}
		if !b.lost(now, kept) {
			inTouch++
		}
		b.targets = append(b.targets, kept)
	}
}

// lost reports whether an executor does not answer. One that was not asked for
// long enough yet may be well.
func (b *board) lost(now time.Duration, one *target) bool {
	return one.Alive() == nil && now-max(one.HeardAt, one.knownAt) > b.config.HeartbeatTimeout
}

// heard takes in the answer of an executor, and reports whether it was lost
// before.
func (b *board) heard(now, roundTrip time.Duration, from *target, status Status) (regained bool) {
	from.status = status
	return from.Answered(now, roundTrip)
}

// expire takes those executors to be lost that were not heard for long.
func (b *board) expire(now time.Duration) {
	for _, one := range b.targets {
		if one.Silent(now, b.config.HeartbeatTimeout) {
			one.Lose()
		}
	}
}

// pick returns the executor for a request under the terms, or nil. Those near
// come first; among equals, the one with the least in flight, unless it is slow.
func (b *board) pick(terms Terms, tried []*target) *target {
	var best *target
	for _, one := range b.targets {
		if !one.usable(terms) || slices.Contains(tried, one) {
			continue
		}
		if best == nil || one.before(best) {
			best = one
		}
	}
	return best
}

// usable reports whether the executor is alive, and takes requests under the
// terms.
func (t *target) usable(terms Terms) bool {
	return t.Alive() != nil && t.status.takes(terms)
}

// before reports whether a request should go to t rather than to other.
func (t *target) before(other *target) bool {
	switch {
	case t.near != other.near:
		return t.near
	case t.latency > 0 && other.latency > 0 && t.latency > slowFactor*other.latency:
		return false
	case t.latency > 0 && other.latency > 0 && other.latency > slowFactor*t.latency:
		return true
	default:
		return t.inFlight < other.inFlight
	}
}

// ended takes in the time that a request took.
func (t *target) ended(took time.Duration) {
	if t.latency == 0 {
		t.latency = took.Seconds()
	}
	t.latency += latencyWeight * (took.Seconds() - t.latency)
}
