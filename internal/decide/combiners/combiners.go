// Package combiners decides through which node the attempts at leaves of another zone are sent, and
// which of these nodes are sent heartbeats. It is pure: time is passed in as an argument, a
// duration on the node's clock.
//
// Rule: a node monitors the few nodes that it prefers in each other zone, the combiners. The
// attempts of a query go through the zone's combiner with the fewest attempts of this node in
// flight, out of those that answer heartbeats, and answer them quickly. If there is none, the
// attempts go to the leaves directly. A silent combiner counts as lost.
//
// Inputs: the nodes with their zones and addresses, the times of heartbeats and of their answers,
// and the attempts of this node that each combiner has in flight.
//
// Reason: a combiner reduces the parts of an answer before they cross to another zone. A lost or
// slow combiner delays them, so a node switches to the next combiner, or to the leaves, as soon as
// it detects that.
//
// Package combine sends the heartbeats, and the attempts through combiners. Which nodes may be
// combiners depends on their role: see executors.Roles.
package combiners

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/liveness"
	"github.com/micaplank/micaplank/internal/roster"
)

// roundTripWeight is the weight of one heartbeat in the moving average of the round trip. With 0.2,
// five heartbeats, half a second, make up two thirds of the average.
const roundTripWeight = 0.2

// Config holds the policy of a Table. All fields must be set.
type Config struct {
	// CombinersPerZone is how many nodes of each other zone are sent heartbeats. With two, one
	// may be lost.
	CombinersPerZone int
	// HeartbeatInterval is the time without a message after which a combiner is sent a heartbeat.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without a message after which a combiner counts as lost, with
	// the attempts that it has in flight. It allows for two lost heartbeats in a row.
	HeartbeatTimeout time.Duration
	// MaxRoundTrip is the mean round trip of a heartbeat above which a combiner is too slow to be
	// used, since it would delay the parts of an answer.
	MaxRoundTrip time.Duration
}

// DefaultConfig returns the default policy.
func DefaultConfig() Config {
	return Config{
		CombinersPerZone:  2,
		HeartbeatInterval: 100 * time.Millisecond,
		HeartbeatTimeout:  350 * time.Millisecond,
		MaxRoundTrip:      15 * time.Millisecond,
	}
}

// Combiner holds what a node knows about a combiner. Its Member never changes.
type Combiner struct {
	roster.Member
	liveness.State
	// InFlight is the number of this node's attempts that the combiner has in flight.
	InFlight int
	// heartbeatPending is set while a heartbeat to the combiner is in flight.
	heartbeatPending bool
}

func newCombiner(member roster.Member) *Combiner {
	return &Combiner{Member: member, State: liveness.State{RoundTripWeight: roundTripWeight}}
}

// RecordAnswer records the answer to a heartbeat and reports whether the combiner was lost before.
// The round trip from before the loss is discarded.
func (c *Combiner) RecordAnswer(now, roundTrip time.Duration) (regained bool) {
	if c.Alive() == nil {
		c.RoundTrip = 0
	}
	return c.State.RecordAnswer(now, roundTrip)
}

// EndHeartbeat ends the heartbeat that DueHeartbeats began, whether answered or not.
func (c *Combiner) EndHeartbeat() { c.heartbeatPending = false }

// isUsable reports whether attempts may be sent through the combiner.
func (c *Combiner) isUsable(maxRoundTrip time.Duration) bool {
	return c.Alive() != nil && c.RoundTrip <= maxRoundTrip
}

// Table holds the combiners by zone. It is not safe for concurrent use.
type Table struct {
	config Config
	zones  map[string][]*Combiner
}

// NewTable returns a Table without combiners.
func NewTable(config Config) *Table { return &Table{config: config} }

// Replace replaces the combiners by those that the node prefers in each other zone. The state of
// combiners that remain is retained, and the attempts in flight at the others are left to finish.
func (t *Table) Replace(self roster.Member, members []roster.Member) {
	previous := make(map[string]*Combiner)
	for _, combiner := range t.list() {
		previous[combiner.Name] = combiner
	}
	t.zones = make(map[string][]*Combiner)
	for _, member := range roster.OrderByZone(self, members) {
		if member.Zone == self.Zone || member.Name == self.Name || !member.Peer.IsValid() || len(t.zones[member.Zone]) >= t.config.CombinersPerZone {
			continue
		}
		combiner := previous[member.Name]
		if combiner == nil || combiner.Member != member {
			combiner = newCombiner(member)
		}
		delete(previous, member.Name)
		t.zones[member.Zone] = append(t.zones[member.Zone], combiner)
	}
	for _, dropped := range previous {
		dropped.MarkUnused()
	}
}

func (t *Table) list() []*Combiner {
	var list []*Combiner
	for _, combiners := range t.zones {
		list = append(list, combiners...)
	}
	return list
}

// Choose returns the combiner of a zone for a query: the usable one with the fewest attempts in
// flight, or nil if there is none.
func (t *Table) Choose(zone string) *Combiner {
	var best *Combiner
	for _, candidate := range t.zones[zone] {
		if candidate.isUsable(t.config.MaxRoundTrip) && (best == nil || candidate.InFlight < best.InFlight) {
			best = candidate
		}
	}
	return best
}

// DueHeartbeats returns the combiners to which a heartbeat is due, which EndHeartbeat ends, and
// those that count as lost from now on.
func (t *Table) DueHeartbeats(now time.Duration) (due, lost []*Combiner) {
	for _, combiner := range t.list() {
		if combiner.IsSilent(now, t.config.HeartbeatTimeout) && combiner.MarkLost() {
			lost = append(lost, combiner)
		}
		if !combiner.heartbeatPending && (now-combiner.LastHeard >= t.config.HeartbeatInterval || combiner.Alive() == nil) {
			combiner.heartbeatPending = true
			due = append(due, combiner)
		}
	}
	return due, lost
}
