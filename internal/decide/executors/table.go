package executors

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/liveness"
	"github.com/micaplank/micaplank/internal/roster"
)

// Config is the policy of a Table.
type Config struct {
	// HeartbeatInterval is the time between two questions to an executor.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is how long after its last answer an executor counts as
	// lost.
	HeartbeatTimeout time.Duration
}

// DefaultConfig returns the defaults.
//
// 250 ms between heartbeats: 50 ms until an executor first answers gained 0.018 on the
// mean in the window of a power-off, within the spread of its runs. 800 ms until one is
// lost: not measured, chosen as three heartbeats.
func DefaultConfig() Config {
	return Config{HeartbeatInterval: 250 * time.Millisecond, HeartbeatTimeout: 800 * time.Millisecond}
}

const (
	// watchedExecutors is how many executors a node keeps in touch with, beside those
	// that are lost. Not measured: chosen as those of its zone and one of another.
	monitoredExecutors = 3
	// MaxOffers is how many executors a request is offered to before the node runs
	// it itself. Not measured: chosen because each refusal costs a round trip.
	MaxOffers = 2
	// latencyWeight is the weight of one request, or one heartbeat, in an executor's
	// mean latency and round trip, from 0 to 1. Not measured.
	latencyWeight = 0.1
	// slowFactor is how many times slower than another an executor must be, by its
	// mean latency, to be passed over for it. Not measured: chosen above the spread
	// between sound ones.
	slowFactor = 1.5
	// Handling is the time that it takes to read a whole answer and to write it
	// again, beyond what a heartbeat takes. Not measured.
	Handling = 1500 * time.Microsecond
	// Grace is how long after a request's timeout its executor may answer: it ends
	// the request in time, and the answer has a way to come. Not measured.
	Grace = 100 * time.Millisecond
)

// Executor is what a node knows of one executor. Its Member and Near never change.
type Executor struct {
	roster.Member
	liveness.State
	// Near says that it is in the node's own zone.
	Near bool
	// InFlight counts the requests of this node that it runs.
	InFlight int
	// Status is its last one.
	Status Status
	// knownAt is since when it is asked.
	addedAt time.Duration
	// latency is the mean of its requests, in seconds; zero without one.
	meanLatency float64
}

// Table holds the executors of a node, and chooses among them. It is not safe for
// concurrent use.
type Table struct {
	config Config
	self   roster.Member
	// preferred holds all executors, those first that this node prefers.
	preferred []roster.Member
	// watched are the first of them, so many that watchedExecutors are not lost.
	monitored []*Executor
}

// NewTable returns a Table of a node that knows no executor yet.
func NewTable(config Config, self roster.Member) Table {
	return Table{config: config, self: self}
}

// Replace sets the executors there are; what is known of those that stay is kept.
// Requests that run on one that goes are left to finish.
func (t *Table) Replace(now time.Duration, executors []roster.Member) {
	t.preferred = roster.Preferred(t.self, executors)
	t.Watch(now)
}

// Watch chooses the executors to keep in touch with: the preferred ones, and a
// further one for each that is lost.
func (t *Table) Watch(now time.Duration) {
	previous := make(map[string]*Executor, len(t.monitored))
	for _, executor := range t.monitored {
		previous[executor.Name] = executor
	}
	t.monitored = t.monitored[:0:0]
	answering := 0
	for _, member := range t.preferred {
		if answering == monitoredExecutors {
			return
		}
		executor := previous[member.Name]
		if executor == nil || executor.Member != member {
			executor = &Executor{Member: member, State: liveness.State{RoundTripWeight: latencyWeight}, addedAt: now, Near: member.Zone == t.self.Zone}
		}
		if !t.isLost(now, executor) {
			answering++
		}
		t.monitored = append(t.monitored, executor)
	}
}

// Watched returns the executors to keep in touch with.
func (t *Table) Watched() []*Executor { return slices.Clone(t.monitored) }

// Len counts the executors to keep in touch with.
func (t *Table) Len() int { return len(t.monitored) }

// Alive counts those of them that answer.
func (t *Table) Alive() int {
	return t.countMatching(func(executor *Executor) bool { return executor.Alive() != nil })
}

// Usable counts those of them that would take a request under the terms.
func (t *Table) Usable(terms Terms) int {
	return t.countMatching(func(executor *Executor) bool { return executor.isUsable(terms) })
}

func (t *Table) countMatching(matches func(*Executor) bool) int {
	count := 0
	for _, executor := range t.monitored {
		if matches(executor) {
			count++
		}
	}
	return count
}

// lost reports whether an executor does not answer. One that was not asked for
// long enough yet may be well.
func (t *Table) isLost(now time.Duration, executor *Executor) bool {
	return executor.Alive() == nil && now-max(executor.LastHeard, executor.addedAt) > t.config.HeartbeatTimeout
}

// Heard records the answer of an executor to a heartbeat, and reports whether it was
// lost before.
func (t *Table) Heard(now, roundTrip time.Duration, from *Executor, status Status) (regained bool) {
	from.Status = status
	return from.Answered(now, roundTrip)
}

// Expire counts those executors as lost that were not heard for the timeout.
func (t *Table) Expire(now time.Duration) {
	for _, executor := range t.monitored {
		if executor.IsSilent(now, t.config.HeartbeatTimeout) {
			executor.Lose()
		}
	}
}

// Choose returns the executor for a request under the terms, or nil: none of those
// tried already. Those near come first; among equals, the one with the least in
// flight, unless it is slow.
func (t *Table) Choose(terms Terms, tried []*Executor) *Executor {
	var best *Executor
	for _, candidate := range t.monitored {
		if !candidate.isUsable(terms) || slices.Contains(tried, candidate) {
			continue
		}
		if best == nil || candidate.preferredOver(best) {
			best = candidate
		}
	}
	return best
}

// usable reports whether the executor is alive, and takes requests under the
// terms.
func (e *Executor) isUsable(terms Terms) bool {
	return e.Alive() != nil && e.Status.Takes(terms)
}

// before reports whether a request should go to e rather than to other.
func (e *Executor) preferredOver(other *Executor) bool {
	switch {
	case e.Near != other.Near:
		return e.Near
	case e.meanLatency > 0 && other.meanLatency > 0 && e.meanLatency > slowFactor*other.meanLatency:
		return false
	case e.meanLatency > 0 && other.meanLatency > 0 && other.meanLatency > slowFactor*e.meanLatency:
		return true
	default:
		return e.InFlight < other.InFlight
	}
}

// Away is the time that a request and its answer spend on the way to the executor
// and back.
func (e *Executor) Away() time.Duration { return e.RoundTrip + Handling }

// Completed records the time that a request took.
func (e *Executor) Completed(took time.Duration) {
	if e.meanLatency == 0 {
		e.meanLatency = took.Seconds()
	}
	e.meanLatency += latencyWeight * (took.Seconds() - e.meanLatency)
}
