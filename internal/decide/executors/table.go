package executors

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/liveness"
	"github.com/micaplank/micaplank/internal/roster"
)

// Config holds the policy of a Table.
type Config struct {
	// HeartbeatInterval is the time between two heartbeats to an executor. 50 ms until an
	// executor first answers brings no clear gain after a power loss.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time since its last answer after which an executor counts as lost:
	// three heartbeats.
	HeartbeatTimeout time.Duration
}

// DefaultConfig returns the default policy.
func DefaultConfig() Config {
	return Config{HeartbeatInterval: 250 * time.Millisecond, HeartbeatTimeout: 800 * time.Millisecond}
}

const (
	// monitoredExecutors is the number of executors that a node monitors in addition to the lost
	// executors: those of its zone and one of another zone.
	monitoredExecutors = 3
	// MaxOffers is how many executors a request is offered to before the node runs the request
	// itself. Each refusal costs a round trip.
	MaxOffers = 2
	// latencyWeight is the weight of one request or heartbeat in the moving averages of an
	// executor's latency and round trip, from 0 to 1.
	latencyWeight = 0.1
	// slowFactor is how many times slower than another executor an executor must be, by mean
	// latency, to be passed over. It exceeds the spread between healthy executors.
	slowFactor = 1.5
	// HandlingTime is the time for reading a whole answer and writing it again, in addition to the
	// round trip of a heartbeat.
	HandlingTime = 1500 * time.Microsecond
	// ResponseGrace is how long after a request's timeout its executor may answer: the executor
	// ends the request at the timeout, and the answer has to be transferred.
	ResponseGrace = 100 * time.Millisecond
)

// Executor holds what a node knows about an executor. Its Member and SameZone never change.
type Executor struct {
	roster.Member
	liveness.State
	// SameZone is set if the executor is in the node's own zone.
	SameZone bool
	// InFlight is the number of this node's requests that the executor runs.
	InFlight int
	// Status is the executor's latest status.
	Status Status
	// addedAt is when the node began to monitor the executor.
	addedAt time.Duration
	// meanLatency is the moving average of the latency of its requests, in seconds; zero if there
	// were none.
	meanLatency float64
}

// Table holds the executors that a node knows and chooses among them. It is not safe for concurrent
// use.
type Table struct {
	config Config
	self   roster.Member
	// preferred holds all executors in the order of preference of this node.
	preferred []roster.Member
	// monitored holds the first of them, up to monitoredExecutors that are not lost.
	monitored []*Executor
}

// NewTable returns a Table of the node self, without executors.
func NewTable(config Config, self roster.Member) Table {
	return Table{config: config, self: self}
}

// Replace sets the executors. The state of executors that remain is retained, and requests that
// run on removed executors are left to finish.
func (t *Table) Replace(now time.Duration, executors []roster.Member) {
	t.preferred = roster.OrderByZone(t.self, executors)
	t.UpdateMonitored(now)
}

// UpdateMonitored selects the executors to monitor: the preferred ones, and a replacement for each
// lost executor.
func (t *Table) UpdateMonitored(now time.Duration) {
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
		candidate := previous[member.Name]
		if candidate == nil || candidate.Member != member {
			candidate = &Executor{Member: member, State: liveness.State{RoundTripWeight: latencyWeight}, addedAt: now, SameZone: member.Zone == t.self.Zone}
		}
		if !t.isLost(now, candidate) {
			answering++
		}
		t.monitored = append(t.monitored, candidate)
	}
}

// Monitored returns the monitored executors.
func (t *Table) Monitored() []*Executor { return slices.Clone(t.monitored) }

// CountMonitored returns the number of monitored executors.
func (t *Table) CountMonitored() int { return len(t.monitored) }

// CountAlive returns the number of monitored executors that are alive.
func (t *Table) CountAlive() int {
	return t.count(func(executor *Executor) bool { return executor.Alive() != nil })
}

// CountUsable returns the number of monitored executors that would accept a request under the
// terms.
func (t *Table) CountUsable(terms Terms) int {
	return t.count(func(executor *Executor) bool { return executor.isUsable(terms) })
}

func (t *Table) count(matches func(*Executor) bool) int {
	count := 0
	for _, executor := range t.monitored {
		if matches(executor) {
			count++
		}
	}
	return count
}

// isLost reports whether an executor does not answer. One that is monitored for less than the
// timeout may still answer.
func (t *Table) isLost(now time.Duration, executor *Executor) bool {
	return executor.Alive() == nil && now-max(executor.LastHeard, executor.addedAt) > t.config.HeartbeatTimeout
}

// RecordAnswer records the answer of an executor to a heartbeat and reports whether the executor
// was lost before.
func (t *Table) RecordAnswer(now, roundTrip time.Duration, from *Executor, status Status) (regained bool) {
	from.Status = status
	return from.RecordAnswer(now, roundTrip)
}

// Expire marks the executors as lost that were silent for longer than the timeout.
func (t *Table) Expire(now time.Duration) {
	for _, executor := range t.monitored {
		if executor.IsSilent(now, t.config.HeartbeatTimeout) {
			executor.MarkLost()
		}
	}
}

// Choose returns the executor for a request under the terms, or nil if there is none. It skips the
// executors in tried. Executors of the own zone come first; among those, the one with the fewest
// requests in flight, unless it is slow.
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

// isUsable reports whether the executor is alive and accepts requests under the terms.
func (e *Executor) isUsable(terms Terms) bool {
	return e.Alive() != nil && e.Status.Accepts(terms)
}

// preferredOver reports whether a request should go to e rather than to other.
func (e *Executor) preferredOver(other *Executor) bool {
	switch {
	case e.SameZone != other.SameZone:
		return e.SameZone
	case e.meanLatency > 0 && other.meanLatency > 0 && e.meanLatency > slowFactor*other.meanLatency:
		return false
	case e.meanLatency > 0 && other.meanLatency > 0 && other.meanLatency > slowFactor*e.meanLatency:
		return true
	default:
		return e.InFlight < other.InFlight
	}
}

// TransitTime is the time that a request and its answer spend on the way to the executor and back.
func (e *Executor) TransitTime() time.Duration { return e.RoundTrip + HandlingTime }

// RecordLatency records the latency of a request.
func (e *Executor) RecordLatency(took time.Duration) {
	if e.meanLatency == 0 {
		e.meanLatency = took.Seconds()
	}
	e.meanLatency += latencyWeight * (took.Seconds() - e.meanLatency)
}
